package kvrouter

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Stored takes in that a replica or store reported parts that it now keeps.
func (r *Router) Stored(now time.Duration, address string, incarnation, sequence uint64, links []prefixindex.Link) FeedStatus {
	return r.handleEvent(now, address, incarnation, event{kind: storedEvent, sequence: sequence, links: links})
}

// Removed takes in that a replica or store reported parts that it dropped.
func (r *Router) Removed(now time.Duration, address string, incarnation, sequence uint64, hashes []prefixindex.ChainHash) FeedStatus {
	return r.handleEvent(now, address, incarnation, event{kind: removedEvent, sequence: sequence, hashes: hashes})
}

// Reset takes in that links is all that a replica or store kept when it had
// sent the events up to sequence. It ends the doubt after lost events.
func (r *Router) Reset(now time.Duration, address string, incarnation, sequence uint64, links []prefixindex.Link) FeedStatus {
	return r.handleEvent(now, address, incarnation, event{kind: resetEvent, sequence: sequence, links: links})
}

// handleEvent hands an event to the feed of its holder. The caller must not change
// the event's slices afterwards, since the event may wait for an earlier one.
func (r *Router) handleEvent(now time.Duration, address string, incarnation uint64, received event) FeedStatus {
	state := r.state(now, address)
	status, restarted := state.feed.handleEvent(now, incarnation, received)
	if restarted {
		r.handleRestart(now, state)
	}
	return status
}

// Report takes in a replica's account of its load, and notices from it when
// the replica has restarted or changed its weights. Reports that are older than
// one that was seen are ignored.
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
		state.memory = memoryReport{
			used:      float64(report.MemoryUsed),
			total:     float64(report.MemoryTotal),
			waiting:   float64(report.Waiting),
			describes: describes,
			known:     true,
		}
	}
	if report.Warming {
		state.slowStart.since = now
	}
}

// totalLoad is the load that a report tells of.
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

// isNewestReport tells whether no report of a later instant was seen yet.
func (r *Router) isNewestReport(state *replicaState, describes time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !state.load.reported || describes >= state.load.reportedAt
}

// ObserveWeightVersion takes in that an answer of a replica came from a weight
// version. A version that is not the last one known ends the trust in all that
// the replica reported before.
func (r *Router) ObserveWeightVersion(now time.Duration, address, version string) {
	r.state(now, address).feed.observeWeightVersion(version)
}

// ResyncNeeded returns, in order, the addresses whose events were lost, and
// that should be asked for a reset.
func (r *Router) ResyncNeeded(now time.Duration) []string {
	r.mutex.Lock()
	states := lo.Values(r.replicas)
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

func (r *Router) state(now time.Duration, address string) *replicaState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observeTime(now)
	return r.stateLocked(now, address)
}

// handleRestart begins slow start, and drops the load that other routers had on
// the replica. Own reservations end as their connections do.
func (r *Router) handleRestart(now time.Duration, state *replicaState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state.load.forgetReports()
	state.shared = sharedLoads{}
	state.memory = memoryReport{}
	state.slowness = slowness{}
	state.transferLink = transferLink{}
	state.slowStart.since = now
}
