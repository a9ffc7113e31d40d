package kvrouter

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Stored records that a replica or store reported chunks that it now caches, under
// chained names. The caller must not change the slice afterwards, here as for
// Removed and Reset: an event may be buffered until an earlier one has come.
func (r *Router) Stored(now time.Duration, address string, incarnation, sequence uint64, links []prefixindex.Link) FeedStatus {
	return r.handleEvent(now, address, incarnation, event{kind: storedEvent, sequence: sequence, links: links})
}

// Removed records that a replica or store reported chunks that it evicted.
func (r *Router) Removed(now time.Duration, address string, incarnation, sequence uint64, hashes []prefixindex.ChainHash) FeedStatus {
	return r.handleEvent(now, address, incarnation, event{kind: removedEvent, sequence: sequence, hashes: hashes})
}

// Reset records that links is all that a replica or store cached when it had sent
// the events up to sequence. It makes the chunks certain again after lost events.
func (r *Router) Reset(now time.Duration, address string, incarnation, sequence uint64, links []prefixindex.Link) FeedStatus {
	return r.handleEvent(now, address, incarnation, event{kind: resetEvent, sequence: sequence, links: links})
}

// handleEvent passes an event to the feed of its owner.
func (r *Router) handleEvent(now time.Duration, address string, incarnation uint64, received event) FeedStatus {
	state := r.state(now, address)
	status, restarted := state.feed.handleEvent(now, incarnation, received)
	if restarted {
		r.handleRestart(now, state)
	}
	return status
}

// Report records what a replica reported of its load, and detects by it that the
// replica has restarted or changed its weights. Reports that are older than an
// earlier one are ignored.
func (r *Router) Report(now time.Duration, address string, report Report) {
	state := r.state(now, address)
	describes := now - report.Age
	if !r.isNewestReport(state, describes) {
		return
	}
	current, restarted := state.feed.handleReport(now, report)
	if !current {
		return
	}
	if restarted {
		r.handleRestart(now, state)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state.load.report(describes, report.totalLoad())
	if report.MemoryTotal > 0 {
		state.load.memory = memoryReport{
			used:      float64(report.MemoryUsed),
			total:     float64(report.MemoryTotal),
			waiting:   float64(report.Waiting),
			describes: describes,
			present:   true,
		}
	}
	if report.Warming {
		state.slowStart.since = now
	}
}

// totalLoad returns the load that a report states.
func (report *Report) totalLoad() load {
	if report.MemoryTotal > 0 {
		return load{
			decodeTokens: float64(report.MemoryUsed),
			requests:     float64(report.Waiting) + float64(report.Running),
		}
	}
	return load{
		prefillTokens: float64(report.ActivePrefillTokens),
		decodeTokens:  float64(report.ActiveDecodeTokens),
		requests:      float64(report.ActiveRequests),
	}
}

// isNewestReport reports whether no report of a later instant has come yet.
func (r *Router) isNewestReport(state *replicaState, describes time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !state.load.reported || describes >= state.load.reportedAt
}

// ObserveWeightVersion records that a response of a replica came from a weight
// version. Another version than the last one discards all that the replica
// reported before.
func (r *Router) ObserveWeightVersion(now time.Duration, address, version string) {
	r.state(now, address).feed.observeWeightVersion(version)
}

// ResyncNeeded returns, in order, the addresses whose events were lost, and that
// should be asked for a reset.
func (r *Router) ResyncNeeded(now time.Duration) []string {
	r.mutex.Lock()
	states := lo.Values(r.replicas.byAddress)
	r.mutex.Unlock()
	var addresses []string
	for _, state := range states {
		if state.feed.view(now).resyncNeeded {
			addresses = append(addresses, state.address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// state returns the state of an address, under the lock. The caller may use its
// feed without the lock.
func (r *Router) state(now time.Duration, address string) *replicaState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observeTime(now)
	return r.replicas.state(now, address)
}

// existingState returns the state of an address, or nil when there is none.
func (r *Router) existingState(address string) *replicaState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.replicas.byAddress[address]
}

func (r *Router) handleRestart(now time.Duration, state *replicaState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state.restart(now)
}
