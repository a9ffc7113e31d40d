package kvrouter

import (
	"cmp"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
)

// Load is the load of a replica in blocks, the unit of cost. replicaload.Load is the same in
// tokens.
type Load struct {
	PrefillBlocks  float64
	DecodeBlocks   float64
	ActiveRequests float64
}

// AddressLoad is the load of one router's requests on the replica at an address, as it is sent
// to other routers.
type AddressLoad struct {
	Address string
	replicaload.SharedLoad
}

// Report records a load report of a replica. It detects from the report whether the replica
// has restarted or changed its weight version. A report that describes an earlier state than
// a previous report is ignored.
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

// totalLoad returns the replica's whole load according to a report.
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

// isNewestReport reports whether no report that describes a later instant has been recorded.
func (r *Router) isNewestReport(state *replicaState, describesAt time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return state.load.IsNewestReport(describesAt)
}

// Load returns the load of a replica that the router estimates from its own requests and the
// replica's reports. It does not include the loads received by SetRemoteLoad.
func (r *Router) Load(now time.Duration, address string) Load {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state, present := r.replicas.byAddress[address]
	if !present {
		return Load{}
	}
	return r.options.blocks(state.load.Reported(now))
}

// ActiveRequests estimates how many requests are active on a replica: this router's own, plus
// the larger of the number that other routers announced by SetRemoteLoad and the number that
// the replica reported in excess of this router's.
func (r *Router) ActiveRequests(now time.Duration, address string) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state, present := r.replicas.byAddress[address]
	if !present {
		return 0
	}
	return state.load.Active(now).Requests
}

// SetRemoteLoad records the load that another router has on a replica. The load is valid until
// that router's next one, or for about a second.
func (r *Router) SetRemoteLoad(now time.Duration, router, address string, received replicaload.SharedLoad) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observeTime(now)
	state := r.replicas.state(now, address)
	state.drainBacklog(now)
	state.load.SetShared(now, router, received)
}

// LocalLoads returns the load of this router's reservations, sorted by address, for
// SetRemoteLoad of the other routers. It contains each replica that has load, and each one that
// had load at the last call, so that the other routers learn that the load is gone.
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
