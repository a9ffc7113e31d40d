package dispatch

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/edges"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/health"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

// poolSelector selects replicas for the requests to pools.
type poolSelector struct {
	options    *Options
	lateStarts *lateStarts
	waiting    *waitingAttempts
	// randomSources counts the sources of random numbers. The count is the stream number of
	// the next source; all sources share the seed.
	randomSources atomic.Uint64
	seed          uint64
}

// newPoolSelector returns the selector for all pools.
func newPoolSelector(options *Options) *poolSelector {
	return &poolSelector{
		options:    options,
		lateStarts: &lateStarts{log: options.Log},
		waiting:    newWaitingAttempts(),
		seed:       rand.Uint64(),
	}
}

// selectTarget implements selector. Replicas that failed recently are avoided as long as other
// replicas have capacity.
func (s *poolSelector) selectTarget(r *pendingRequest) (target, *caller.Error) {
	pool := s.newestPool(r)
	// Since the request arrived, the pool may have been removed or changed to another model.
	if pool == nil || pool.Config.GetModel() != r.Destination.Pool.Config.GetModel() {
		return nil, noReplicaError(&kvrouter.NoReplicaError{Reason: kvrouter.NoCandidates}, s.options.BackendRetry)
	}
	now := s.options.Clock()
	candidates := s.candidates(now, pool)
	var decision kvrouter.Decision
	var err error
	s.options.Health.TryHealthiestFirst(now, r.tried, r.tracker.Sent() == 0, func(exclude func(string) bool) health.SelectionResult {
		decision, err = s.options.Router.Select(s.routerRequest(r, pool, now, exclude), candidates)
		return selectionResultOf(err)
	})
	if err != nil {
		return nil, noReplicaError(err, s.options.BackendRetry)
	}
	chosen, _ := lo.Find(pool.Replicas, func(replica routing.Replica) bool { return replica.Address == decision.Address })
	return &replicaTarget{
		selector:       s,
		decision:       decision,
		limits:         pool.Config.GetBackends(),
		slowStartUntil: chosen.SlowStartUntil,
		slots:          chosen.Slots,
		targetVersion:  pool.Config.GetWeightVersion(),
	}, nil
}

// selectionResultOf converts the error of a selection by the router.
func selectionResultOf(err error) health.SelectionResult {
	var none *kvrouter.NoReplicaError
	switch {
	case err == nil:
		return health.Found
	case errors.As(err, &none) && none.Reason == kvrouter.AllBusy:
		return health.AllBusy
	}
	return health.NoneLeft
}

// newestPool returns the request's pool in the newest view, or nil if that view does not
// contain it. Before that, it passes the view to the health tracker, which tracks the view's
// back ends.
func (s *poolSelector) newestPool(r *pendingRequest) *routing.Pool {
	view := s.options.Source.View()
	if view == nil {
		return nil
	}
	s.options.Health.Follow(view)
	return view.Pools[r.Destination.Pool.Config.GetName()]
}

// candidates returns the replicas of a pool to which requests may be sent. A replica whose
// weight version is not confirmed is left out, because the correct cache salt is unknown.
func (s *poolSelector) candidates(now time.Duration, pool *routing.Pool) []kvrouter.Candidate {
	candidates := make([]kvrouter.Candidate, 0, len(pool.Replicas))
	for _, replica := range pool.Replicas {
		confirmed := replica.WeightVersion != ""
		if replica.AdmitsAt(now) && confirmed && !s.options.Quarantine.Contains(replica.Address, replica.WeightVersion) &&
			!s.options.StaleBackends.Contains(now, replica) {
			candidates = append(candidates, kvrouter.Candidate{
				Address:        replica.Address,
				Zone:           replica.Zone,
				WeightVersion:  replica.WeightVersion,
				Instance:       replica.Instance,
				SlowStartUntil: replica.SlowStartUntil,
			})
		}
	}
	return candidates
}

// noReplicaError returns the error for the caller if no replica was selected.
func noReplicaError(err error, wait time.Duration) *caller.Error {
	kind := caller.KindNoBackend
	var none *kvrouter.NoReplicaError
	if errors.As(err, &none) {
		wait = max(none.RetryAfter, wait)
		if none.Reason == kvrouter.AllBusy {
			kind = caller.KindBackendsBusy
		}
	}
	return caller.NewError(kind, "%v", err).WithRetryAfter(wait)
}

// mayUse reports whether requests for a weight version may be sent to a replica. Only then may
// other replicas pull chunks of that version from it.
func (s *poolSelector) mayUse(pool *routing.Pool, address, weightVersion string) bool {
	now := s.options.Clock()
	found, listed := findReplica(pool, address, weightVersion)
	return listed && found.AdmitsAt(now) && !s.options.Quarantine.Contains(address, weightVersion) &&
		!s.options.StaleBackends.Contains(now, found)
}

// findReplica returns the pool's replica at an address, if it has the weight version.
func findReplica(pool *routing.Pool, address, weightVersion string) (routing.Replica, bool) {
	return lo.Find(pool.Replicas, func(candidate routing.Replica) bool {
		return candidate.Address == address && candidate.WeightVersion == weightVersion
	})
}

// announceDispatch queues an update that tells the other nodes where the chunks of a request
// will be cached, so that their routers predict the same cache contents as this node's.
func (s *poolSelector) announceDispatch(attempt edges.Attempt) {
	if len(attempt.Generation.Chunks) == 0 {
		return
	}
	generation := attempt.Generation
	dispatch := gossip.Dispatch{
		Address: attempt.Address,
		Links:   s.options.Naming.Links(generation.Model, generation.CacheSalt, generation.Chunks),
	}
	s.options.Updates.AddDispatch(dispatch)
	if generation.SaveTo != "" {
		dispatch.Address = generation.SaveTo
		s.options.Updates.AddDispatch(dispatch)
	}
}
