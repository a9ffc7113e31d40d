package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// replicaState is all that the router knows of one replica or store. All but
// the feed is guarded by the router's lock.
type replicaState struct {
	address string
	holder  prefixindex.Holder
	feed    *feed
	load    loadRecord
	speed   prefillSpeed
	ramp    ramp
	// queue estimates what is left to read for own requests, and shared what
	// other routers told of.
	queue  prefillQueue
	shared sharedLoads
	// toldLoad tells that OwnLoads has told of load here.
	toldLoad bool
	slowness slowness
	// perToken is the pool's learnt time per token of prompt, in milliseconds.
	perToken float64
	// meanCompute is the moving average of the tokens that requests have to read.
	meanCompute float64
	memory      memoryReport
	moves       moves
	// instance is the life of the replica that candidates named last.
	instance string
	// pullsServed counts the pulls under way from here.
	pullsServed int
}

// state returns the record of an address, and makes one when it is new. The
// router's lock is held.
func (r *Router) state(now time.Duration, address string) *replicaState {
	if known, present := r.replicas[address]; present {
		return known
	}
	holder := r.takeHolder()
	created := &replicaState{
		address: address,
		holder:  holder,
		feed:    &feed{index: r.index, pending: r.pending, holder: holder, options: &r.options},
		ramp:    ramp{since: now},
		queue:   prefillQueue{updatedAt: now},
	}
	r.replicas[address] = created
	return created
}

// takeHolder returns a handle that is free. The router's lock is held.
func (r *Router) takeHolder() prefixindex.Holder {
	if last := len(r.freeHolders) - 1; last >= 0 {
		holder := r.freeHolders[last]
		r.freeHolders = r.freeHolders[:last]
		return holder
	}
	holder := r.nextHolder
	r.nextHolder++
	return holder
}
