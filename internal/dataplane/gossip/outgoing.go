package gossip

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
)

const (
	// loadRefresh is the interval at which an unchanged load is sent again. It is half the
	// time after which other nodes discard a load.
	loadRefresh = 500 * time.Millisecond
	// maxPendingUpdates is the capacity of each of the three queues of dispatches, reports
	// and denials that wait for the next Drain. Entries beyond it are dropped.
	maxPendingUpdates = 1024
	// maxPendingLinks bounds the chunks of all dispatches that wait for the next Drain. A
	// dispatch beyond it is dropped, as one beyond maxPendingUpdates is.
	maxPendingLinks = 1 << 15
)

// sentLoad is the load on a replica that was last sent to the other nodes.
type sentLoad struct {
	load   replicaload.SharedLoad
	sentAt time.Duration
}

// OutgoingUpdates collects the updates about this node's traffic that are to be sent to the other
// nodes. It may be used concurrently.
type OutgoingUpdates struct {
	mutex sync.Mutex
	// sentLoads holds, by address, the loads that the other nodes currently attribute to
	// this node.
	sentLoads map[string]sentLoad
	// The queues below wait for the next Drain.
	dispatches []Dispatch
	reports    []Report
	denials    []GoneInstance
	// pendingLinks counts the links of dispatches.
	pendingLinks int
}

// NewOutgoingUpdates returns an OutgoingUpdates without updates.
func NewOutgoingUpdates() *OutgoingUpdates {
	return &OutgoingUpdates{sentLoads: make(map[string]sentLoad)}
}

// AddDispatch adds a request that was sent to a replica.
func (o *OutgoingUpdates) AddDispatch(dispatch Dispatch) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.pendingLinks+len(dispatch.Links) > maxPendingLinks {
		return
	}
	if enqueue(&o.dispatches, dispatch) {
		o.pendingLinks += len(dispatch.Links)
	}
}

// AddReport adds a page of reports that this node has read from a back end.
func (o *OutgoingUpdates) AddReport(report Report) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	enqueue(&o.reports, report)
}

// AddGoneInstance adds an incarnation that is gone from its address.
func (o *OutgoingUpdates) AddGoneInstance(denial GoneInstance) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	enqueue(&o.denials, denial)
}

// enqueue appends an entry, or returns false if the queue is full.
func enqueue[T any](queue *[]T, entry T) bool {
	if len(*queue) >= maxPendingUpdates {
		return false
	}
	*queue = append(*queue, entry)
	return true
}

// Drain returns the update to send now, given the current loads, and empties the queues.
func (o *OutgoingUpdates) Drain(now time.Duration, loads []kvrouter.AddressLoad) Update {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	update := Update{Dispatches: o.dispatches, Reports: o.reports, GoneInstances: o.denials}
	o.dispatches, o.reports, o.denials = nil, nil, nil
	o.pendingLinks = 0
	for _, load := range loads {
		if o.markSentIfDue(now, load) {
			update.Loads = append(update.Loads, load)
		}
	}
	return update
}

// markSentIfDue reports whether a load must be sent now, and records it as sent if so. A load is
// due if it differs from the last one sent, or if the other nodes would soon discard that one.
// The progress of a prefill and the growth of a response do not count as differences, because
// the other nodes predict them. The caller must hold the mutex.
func (o *OutgoingUpdates) markSentIfDue(now time.Duration, load kvrouter.AddressLoad) bool {
	sent, found := o.sentLoads[load.Address]
	idle := load.Requests == 0
	if found && sameRequests(sent.load, load.SharedLoad) && (idle || now-sent.sentAt < loadRefresh) {
		return false
	}
	if idle {
		delete(o.sentLoads, load.Address)
		return found
	}
	o.sentLoads[load.Address] = sentLoad{load: load.SharedLoad, sentAt: now}
	return true
}

// sameRequests reports whether two loads on one replica have the same number of requests, and
// whether both or neither of them contain prefills. If so, it is assumed that no request has
// arrived, ended, or begun to respond in between.
func sameRequests(sent, present replicaload.SharedLoad) bool {
	prefilling := func(load replicaload.SharedLoad) bool {
		return lo.SomeBy(load.PrefillTokens[:], func(tokens float64) bool { return tokens > 0 })
	}
	return sent.Requests == present.Requests && prefilling(sent) == prefilling(present)
}
