package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/speed"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// replicaState is the router's state of one replica or store. The router's lock guards all
// fields except the feed, which has its own lock.
type replicaState struct {
	address string
	owner   prefixindex.Owner
	feed    *cachefeed.Feed
	// instance is the Candidate.Instance of the last selection that stated one. It is set in
	// pools with an engine profile.
	instance  string
	load      replicaload.Tracker
	slowStart slowStart
	// pullsServed is the number of pulls in progress from this owner.
	pullsServed int

	// prefillSpeed is used by the block cost model.
	prefillSpeed speed.Prefill

	// The fields below are used by the time cost model.

	slowness speed.Slowness
	// perToken is the learned time per prompt token, in milliseconds, of the model's
	// replicas.
	perToken float64
	// meanCompute is the moving average of the number of prompt tokens that the replica has
	// to compute for a request.
	meanCompute  float64
	transferLink speed.TransferLink
}

// restart begins a new slow start and discards the state that belongs to the former
// incarnation, including its load reports and the loads announced by other routers. This
// router's reservations stay: they are finished when the connections of their requests fail.
func (s *replicaState) restart(now time.Duration) {
	s.load.DiscardOthers()
	s.slowness = speed.Slowness{}
	s.transferLink = speed.TransferLink{}
	s.slowStart.since = now
}

// drainBacklog subtracts from the backlog the tokens that the replica has computed until now
// at the learned speed.
func (s *replicaState) drainBacklog(now time.Duration) {
	// A selection calls drainBacklog up to twice for each candidate, with the same time.
	if now > s.load.DrainedAt() {
		s.load.Drain(now, s.perToken*s.slowness.Factor())
	}
}

// registry contains the state of each replica and store by address, and assigns the owner
// numbers in the index. The router's lock guards it.
type registry struct {
	index, pending *prefixindex.Index
	options        *Options
	feedOptions    cachefeed.Options

	byAddress  map[string]*replicaState
	nextOwner  prefixindex.Owner
	freeOwners []prefixindex.Owner
}

// state returns the state of an address and creates it if there is none.
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

// remove removes the state of an address and returns it. The owner number stays in use until
// releaseOwner.
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

// releaseOwner makes an owner number available for another address. The caller must have
// called Forget on the former feed, so that no late event of the former address is recorded
// for the new one.
func (r *registry) releaseOwner(owner prefixindex.Owner) {
	r.freeOwners = append(r.freeOwners, owner)
}
