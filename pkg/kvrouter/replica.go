package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// replicaState is all that the router knows of one replica or store. All but
// the feed is guarded by the router's lock.
type replicaState struct {
	address   string
	owner     prefixindex.Owner
	feed      *feed
	load      loadRecord
	speed     prefillSpeed
	slowStart slowStart
	// queue estimates what is left to read for own requests, and shared what
	// other routers told of.
	queue  prefillQueue
	shared sharedLoads
	// loadAnnounced tells that LocalLoads has told of load here.
	loadAnnounced bool
	slowness      slowness
	// perToken is the pool's learnt time per token of prompt, in milliseconds.
	perToken float64
	// meanCompute is the moving average of the tokens that requests have to read.
	meanCompute  float64
	memory       memoryReport
	transferLink transferLink
	// instance is the life of the replica that candidates named last.
	instance string
	// pullsServed counts the pulls under way from here.
	pullsServed int
}

// stateLocked returns the record of an address, and makes one when it is new. The
// router's lock is held.
func (r *Router) stateLocked(now time.Duration, address string) *replicaState {
	if state, present := r.replicas[address]; present {
		return state
	}
	owner := r.allocateOwner()
	created := &replicaState{
		address:   address,
		owner:     owner,
		feed:      &feed{index: r.index, pending: r.pending, owner: owner, options: &r.options},
		slowStart: slowStart{since: now},
		queue:     prefillQueue{updatedAt: now},
	}
	r.replicas[address] = created
	return created
}

// allocateOwner returns a handle that is free. The router's lock is held.
func (r *Router) allocateOwner() prefixindex.Owner {
	if last := len(r.freeOwners) - 1; last >= 0 {
		owner := r.freeOwners[last]
		r.freeOwners = r.freeOwners[:last]
		return owner
	}
	owner := r.nextOwner
	r.nextOwner++
	return owner
}
