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

// poolBackend runs attempts on the replicas of pools.
type poolBackend struct {
	options *Options
	// draws counts the random sources, so that each has its own seed.
	draws atomic.Uint64
	seed  uint64
}

// newPoolBackend returns the backend of all pools.
func newPoolBackend(options *Options) *poolBackend {
	return &poolBackend{options: options, seed: rand.Uint64()}
}

// choose implements backend. Replicas that failed lately are avoided as long as others
// take requests.
func (b *poolBackend) choose(w *work) (target, *caller.Error) {
	pool := b.newestPool(w)
	if pool == nil || pool.Config.GetModel() != w.Destination.Pool.Config.GetModel() {
		return nil, noReplicaError(&kvrouter.NoReplicaError{Reason: kvrouter.NoCandidates}, b.options.BackendRetry)
	}
	now := b.options.Clock()
	candidates := b.candidates(now, pool)
	var decision kvrouter.Decision
	var err error
	b.options.Health.Choose(now, w.tried, w.tracker.Sent() == 0, func(exclude func(string) bool) health.SelectionResult {
		decision, err = b.options.Router.Select(b.selection(w, pool, now, exclude), candidates)
		return selectionResultOf(err)
	})
	if err != nil {
		return nil, noReplicaError(err, b.options.BackendRetry)
	}
	chosen, _ := lo.Find(pool.Replicas, func(chosen routing.Replica) bool { return chosen.Address == decision.Address })
	return &replicaTarget{
		backend:        b,
		decision:       decision,
		limits:         pool.Config.GetBackends(),
		slowStartUntil: chosen.SlowStartUntil,
		slots:          chosen.Slots,
		targetVersion:  pool.Config.GetWeightVersion(),
	}, nil
}

// selectionResultOf returns how a selection of the router ended.
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

// newestPool returns the work's pool in the newest view, or nil if it is gone. It makes the
// back ends of that view known to the health tracker first.
func (b *poolBackend) newestPool(w *work) *routing.Pool {
	view := b.options.Source.View()
	if view == nil {
		return nil
	}
	b.options.Health.Follow(view)
	return view.Pools[w.Destination.Pool.Config.GetName()]
}

// candidates returns the replicas of a pool that requests may go to. A replica whose
// weight version is not confirmed is none: no cache salt could be right.
func (b *poolBackend) candidates(now time.Duration, pool *routing.Pool) []kvrouter.Candidate {
	candidates := make([]kvrouter.Candidate, 0, len(pool.Replicas))
	for _, listing := range pool.Replicas {
		confirmed := listing.WeightVersion != ""
		if listing.Admitting && confirmed && !b.options.Quarantine.Contains(listing.Address, listing.WeightVersion) &&
			!b.options.Stale.Contains(now, listing) {
			candidates = append(candidates, kvrouter.Candidate{
				Address:        listing.Address,
				Zone:           listing.Zone,
				WeightVersion:  listing.WeightVersion,
				Instance:       listing.Instance,
				SlowStartUntil: listing.SlowStartUntil,
			})
		}
	}
	return candidates
}

// noReplicaError reports why no replica was chosen.
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

// mayUse reports whether requests under a weight version may go to a replica, and chunks
// be fetched from it.
func (b *poolBackend) mayUse(pool *routing.Pool, address, weightVersion string) bool {
	found, admits := findAdmitting(pool, address, weightVersion)
	return admits && !b.options.Quarantine.Contains(address, weightVersion) &&
		!b.options.Stale.Contains(b.options.Clock(), found)
}

// findAdmitting returns a pool's replica if it admits requests of a version.
func findAdmitting(pool *routing.Pool, address, weightVersion string) (routing.Replica, bool) {
	return lo.Find(pool.Replicas, func(candidate routing.Replica) bool {
		return candidate.Address == address && candidate.Admitting && candidate.WeightVersion == weightVersion
	})
}

// announceDispatch tells the other nodes where the chunks of a request will be cached.
func (b *poolBackend) announceDispatch(attempt edges.Attempt) {
	if len(attempt.Generation.Chunks) == 0 {
		return
	}
	generation := attempt.Generation
	dispatch := gossip.Dispatch{
		Address: attempt.Address,
		Links:   b.options.Naming.Links(generation.Model, generation.CacheSalt, generation.Chunks),
	}
	b.options.Updates.AddDispatch(dispatch)
	if generation.SaveTo != "" {
		dispatch.Address = generation.SaveTo
		b.options.Updates.AddDispatch(dispatch)
	}
}
