package kvrouter

import (
	"cmp"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
)

// Load is a load of a replica in blocks, the unit of cost. replicaload.Load is the same in
// tokens.
type Load struct {
	PrefillBlocks  float64
	DecodeBlocks   float64
	ActiveRequests float64
}

// AddressLoad is the load of this router's requests on the replica at an address, for the
// other routers.
type AddressLoad struct {
	Address string
	replicaload.SharedLoad
}

// Report records what a replica reported of its load, and detects by it that the
// replica has restarted or changed its weights. Reports that are older than an
// earlier one are ignored.
func (r *Router) Report(now time.Duration, address string, report Report) {
	state := r.state(now, address)
	describesAt := now - report.Age
	if !r.isNewestReport(state, describesAt) {
		return
	}
	current, restarted := state.feed.HandleReport(now, report.Incarnation, report.WeightVersion, report.LastSequence)
	if !current {
		return
	}
	if restarted {
		r.handleRestart(now, state)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state.load.Report(describesAt, report.totalLoad())
	if report.MemoryTotal > 0 {
		state.load.ReportMemory(replicaload.Memory{
			Used:        float64(report.MemoryUsed),
			Total:       float64(report.MemoryTotal),
			Waiting:     float64(report.Waiting),
			DescribesAt: describesAt,
		})
	}
	if report.Warming {
		state.slowStart.since = now
	}
}

// totalLoad returns the load that a report states.
func (report *Report) totalLoad() replicaload.Load {
	if report.MemoryTotal > 0 {
		return replicaload.Load{
			DecodeTokens: float64(report.MemoryUsed),
			Requests:     float64(report.Waiting) + float64(report.Running),
		}
	}
	return replicaload.Load{
		PrefillTokens: float64(report.ActivePrefillTokens),
		DecodeTokens:  float64(report.ActiveDecodeTokens),
		Requests:      float64(report.ActiveRequests),
	}
}

// isNewestReport reports whether no report of a later instant has come yet.
func (r *Router) isNewestReport(state *replicaState, describesAt time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return state.load.IsNewestReport(describesAt)
}

// Load returns the load that the router assumes of a replica by its own requests and the
// replica's reports. What other routers sent is not in it.
func (r *Router) Load(now time.Duration, address string) Load {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state, present := r.replicas.byAddress[address]
	if !present {
		return Load{}
	}
	return r.options.blocks(state.load.Reported(now))
}

// ActiveRequests returns how many requests the router assumes that a replica
// works on: its own, and those that other routers sent or the replica reported,
// whichever is more.
func (r *Router) ActiveRequests(now time.Duration, address string) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state, present := r.replicas.byAddress[address]
	if !present {
		return 0
	}
	return state.load.Active(now).Requests
}

// SetRemoteLoad records the load that another router has on a replica. It counts
// until the next one of that router, or for a second.
func (r *Router) SetRemoteLoad(now time.Duration, router, address string, received replicaload.SharedLoad) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observeTime(now)
	state := r.replicas.state(now, address)
	state.drainBacklog(now)
	state.load.SetShared(now, router, received)
}

// LocalLoads returns, in the order of the addresses, the load of this router's
// reservations on each replica that has some, and once more on each that had some
// at the last call. It is to be passed to SetRemoteLoad of the other routers.
func (r *Router) LocalLoads(now time.Duration) []AddressLoad {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observeTime(now)
	var loads []AddressLoad
	for address, state := range r.replicas.byAddress {
		if !state.load.AnnouncementDue() {
			continue
		}
		state.drainBacklog(now)
		loads = append(loads, AddressLoad{Address: address, SharedLoad: state.load.Announce()})
	}
	slices.SortFunc(loads, func(a, b AddressLoad) int { return cmp.Compare(a.Address, b.Address) })
	return loads
}
