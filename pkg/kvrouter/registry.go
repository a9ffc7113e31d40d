package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/speed"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// replicaState is the router's state of one replica or store. All but the feed,
// which has a lock of its own, is guarded by the router's lock.
type replicaState struct {
	address string
	owner   prefixindex.Owner
	feed    *cachefeed.Feed
	// instance is the replica's instance that candidates named last.
	instance  string
	load      replicaload.Tracker
	slowStart slowStart
	// pullsServed counts the pulls in progress from here.
	pullsServed int

	// prefillSpeed is used by the block cost model.
	prefillSpeed speed.Prefill

	// The fields below are used by the time cost model.

	slowness speed.Slowness
	// perToken is the pool's learned time per token of prompt, in milliseconds.
	perToken float64
	// meanCompute is the moving average of the tokens that requests have to compute.
	meanCompute  float64
	transferLink speed.TransferLink
}

// restart starts slow start anew, and discards what is true of one incarnation
// only, the load of other routers among it. The reservations of this router end
// as their connections do.
func (s *replicaState) restart(now time.Duration) {
	s.load.DiscardOthers()
	s.slowness = speed.Slowness{}
	s.transferLink = speed.TransferLink{}
	s.slowStart.since = now
}

// drainBacklog updates the estimate of what the replica has computed until now, at the
// learned speed.
func (s *replicaState) drainBacklog(now time.Duration) {
	// A selection calls this up to twice for each candidate, at one instant.
	if now > s.load.DrainedAt() {
		s.load.Drain(now, s.perToken*s.slowness.Factor())
	}
}

// registry has the state of each replica and store by address, and assigns the
// owners of the index. The router's lock guards it.
type registry struct {
	index, pending *prefixindex.Index
	options        *Options
	feedOptions    cachefeed.Options

	byAddress  map[string]*replicaState
	nextOwner  prefixindex.Owner
	freeOwners []prefixindex.Owner
}

// state returns the state of an address, which it creates when there is none.
func (r *registry) state(now time.Duration, address string) *replicaState {
	if state, present := r.byAddress[address]; present {
		return state
	}
	owner := r.allocateOwner()
	created := &replicaState{
		address:   address,
		owner:     owner,
		feed:      cachefeed.New(r.index, r.pending, owner, &r.feedOptions),
		slowStart: slowStart{since: now},
		load:      replicaload.NewTracker(now, replicaload.ReportAges{Fresh: r.options.ReportFresh, Useless: r.options.ReportUseless}),
	}
	r.byAddress[address] = created
	return created
}

// remove removes the state of an address, and returns it. The owner is not free
// until releaseOwner.
func (r *registry) remove(address string) (removed *replicaState, present bool) {
	removed, present = r.byAddress[address]
	delete(r.byAddress, address)
	return removed, present
}

func (r *registry) allocateOwner() prefixindex.Owner {
	if last := len(r.freeOwners) - 1; last >= 0 {
		owner := r.freeOwners[last]
		r.freeOwners = r.freeOwners[:last]
		return owner
	}
	owner := r.nextOwner
	r.nextOwner++
	return owner
}

// releaseOwner lets another address have the owner. The caller must have ended the
// feed of the old one, so that none of its events is written for the new one.
func (r *registry) releaseOwner(owner prefixindex.Owner) {
	r.freeOwners = append(r.freeOwners, owner)
}
