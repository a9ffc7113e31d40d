package gossip

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
)

const (
	// loadRefresh is how long an unchanged load is not sent again. It is half the time
	// after which other nodes discard it.
	loadRefresh = 500 * time.Millisecond
	// maxPendingUpdates bounds the dispatches, the reports and the denials that wait for the
	// next Drain, each by itself. What comes beyond it is dropped.
	maxPendingUpdates = 1024
)

// sentLoad is the load of a replica as it was sent last.
type sentLoad struct {
	load   replicaload.SharedLoad
	sentAt time.Duration
}

// OutgoingUpdates collects what the other nodes are to learn of this node's traffic. It
// may be used concurrently.
type OutgoingUpdates struct {
	mutex sync.Mutex
	// sentLoads holds the replicas on which the other nodes assume a load of this one, by
	// address.
	sentLoads map[string]sentLoad
	// The updates below wait for the next Drain.
	dispatches []Dispatch
	reports    []Report
	denials    []GoneInstance
}

// NewOutgoingUpdates returns a collection without updates.
func NewOutgoingUpdates() *OutgoingUpdates {
	return &OutgoingUpdates{sentLoads: make(map[string]sentLoad)}
}

// AddDispatch adds a request that was sent to a replica.
func (o *OutgoingUpdates) AddDispatch(dispatch Dispatch) { enqueue(o, &o.dispatches, dispatch) }

// AddReport adds a page of reports that this node has read.
func (o *OutgoingUpdates) AddReport(report Report) { enqueue(o, &o.reports, report) }

// AddGoneInstance adds an incarnation that is gone from its address.
func (o *OutgoingUpdates) AddGoneInstance(denial GoneInstance) { enqueue(o, &o.denials, denial) }

// enqueue appends an entry unless the queue is full.
func enqueue[T any](o *OutgoingUpdates, queue *[]T, entry T) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(*queue) < maxPendingUpdates {
		*queue = append(*queue, entry)
	}
}

// Drain returns and removes what is to be sent now, given the present loads.
func (o *OutgoingUpdates) Drain(now time.Duration, loads []kvrouter.AddressLoad) Update {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	update := Update{Dispatches: o.dispatches, Reports: o.reports, GoneInstances: o.denials}
	o.dispatches, o.reports, o.denials = nil, nil, nil
	for _, load := range loads {
		if o.markSentIfDue(now, load) {
			update.Loads = append(update.Loads, load)
		}
	}
	return update
}

// markSentIfDue reports whether a load is to be sent now, and remembers it as sent if so. It
// is due when the other nodes assume another load, or would soon discard this one. They expect
// by themselves that a prefill progresses and a response grows. The lock is held.
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

// sameRequests reports whether two loads of one replica are those of the same requests,
// none of which has arrived, ended, or begun to respond in between.
func sameRequests(sent, present replicaload.SharedLoad) bool {
	prefilling := func(load replicaload.SharedLoad) bool {
		return lo.SomeBy(load.PrefillTokens[:], func(tokens float64) bool { return tokens > 0 })
	}
	return sent.Requests == present.Requests && prefilling(sent) == prefilling(present)
}
