package kvrouter

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Stored takes in that a replica or store reported parts that it now keeps.
func (r *Router) Stored(now time.Duration, address string, incarnation, sequence uint64, links []prefixindex.Link) FeedStatus {
	return r.take(now, address, incarnation, event{kind: storedEvent, sequence: sequence, links: links})
}

// Removed takes in that a replica or store reported parts that it dropped.
func (r *Router) Removed(now time.Duration, address string, incarnation, sequence uint64, hashes []prefixindex.ChainHash) FeedStatus {
	return r.take(now, address, incarnation, event{kind: removedEvent, sequence: sequence, hashes: hashes})
}

// Reset takes in that links is all that a replica or store kept when it had
// sent the events up to sequence. It ends the doubt after lost events.
func (r *Router) Reset(now time.Duration, address string, incarnation, sequence uint64, links []prefixindex.Link) FeedStatus {
	return r.take(now, address, incarnation, event{kind: resetEvent, sequence: sequence, links: links})
}

// take hands an event to the feed of its holder. The caller must not change
// the event's slices afterwards, since the event may wait for an earlier one.
func (r *Router) take(now time.Duration, address string, incarnation uint64, taken event) FeedStatus {
	known := r.stateOf(now, address)
	status, restarted := known.feed.take(now, incarnation, taken)
	if restarted {
		r.restarted(now, known)
	}
	return status
}

// Report takes in a replica's account of its load, and notices from it when
// the replica has restarted or changed its weights. Reports that are older than
// one that was seen are ignored.
func (r *Router) Report(now time.Duration, address string, report Report) {
	known := r.stateOf(now, address)
	describes := now - report.Age
	if !r.newest(known, describes) {
		return
	}
	current, restarted := known.feed.reported(now, report)
	if !current {
		return
	}
	if restarted {
		r.restarted(now, known)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known.load.report(describes, report.total())
	if report.MemoryTotal > 0 {
		known.memory = memoryReport{
			used:      float64(report.MemoryUsed),
			total:     float64(report.MemoryTotal),
			waiting:   float64(report.Waiting),
			describes: describes,
			known:     true,
		}
	}
	if report.Warming {
		known.ramp.since = now
	}
}

// total is the load that a report tells of.
func (report *Report) total() load {
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

// newest tells whether no report of a later instant was seen yet.
func (r *Router) newest(known *replicaState, describes time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !known.load.reported || describes >= known.load.reportedAt
}

// WeightVersionSeen takes in that an answer of a replica came from a weight
// version. A version that is not the last one known ends the trust in all that
// the replica reported before.
func (r *Router) WeightVersionSeen(now time.Duration, address, version string) {
	r.stateOf(now, address).feed.observeVersion(version)
}

// ResyncWanted returns, in order, the addresses whose events were lost, and
// that should be asked for a reset.
func (r *Router) ResyncWanted(now time.Duration) []string {
	r.mutex.Lock()
	states := lo.Values(r.replicas)
	r.mutex.Unlock()
	var wanted []string
	for _, state := range states {
		if state.feed.view(now).resyncWanted {
			wanted = append(wanted, state.address)
		}
	}
	slices.Sort(wanted)
	return wanted
}

func (r *Router) stateOf(now time.Duration, address string) *replicaState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.advance(now)
	return r.state(now, address)
}

// restarted begins slow start, and drops the load that other routers had on
// the replica. Own reservations end as their connections do.
func (r *Router) restarted(now time.Duration, known *replicaState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known.load.forgetReports()
	known.shared = sharedLoads{}
	known.memory = memoryReport{}
	known.slowness = slowness{}
	known.moves = moves{}
	known.ramp.since = now
}
