package dataplane

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/health"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

// poolBackend runs attempts on the replicas of pools.
type poolBackend struct {
	server *Server
	edge   BackendEdge
}

// newPoolBackend returns the backend of all pools.
func newPoolBackend(server *Server) *poolBackend {
	return &poolBackend{server: server, edge: server.options.Edges.Replicas}
}

// replicaTarget is a replica chosen for one attempt.
type replicaTarget struct {
	backend  *poolBackend
	decision kvrouter.Decision
	limits   *ridgeswitchv1.BackendLimits
	// slowStartUntil is when the slow start of the replica ends.
	slowStartUntil time.Duration
	slots          int
	// targetVersion is the weight version that the pool's replicas are to load.
	targetVersion string
}

// choose implements backend. Replicas that failed lately are avoided as long as others
// take requests.
func (b *poolBackend) choose(w *work) (target, *caller.Error) {
	pool := b.newestPool(w)
	if pool == nil || pool.Config.GetModel() != w.Destination.Pool.Config.GetModel() {
		return nil, noReplicaError(&kvrouter.NoReplicaError{Reason: kvrouter.NoCandidates}, b.server.options.BackendRetry)
	}
	now := b.server.options.Clock()
	candidates := b.candidates(now, pool)
	var decision kvrouter.Decision
	var err error
	b.server.health.Choose(now, w.tried, w.tracker.Sent() == 0, func(exclude func(string) bool) health.SelectionResult {
		decision, err = b.server.router.Select(b.selection(w, pool, now, exclude), candidates)
		return selectionResultOf(err)
	})
	if err != nil {
		return nil, noReplicaError(err, b.server.options.BackendRetry)
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
	view := b.server.options.Source.View()
	if view == nil {
		return nil
	}
	b.server.health.Follow(view)
	return view.Pools[w.Destination.Pool.Config.GetName()]
}

// selection returns the router's request for the work.
func (b *poolBackend) selection(w *work, pool *routing.Pool, now time.Duration, exclude func(string) bool) kvrouter.Request {
	model := pool.Config.GetModel()
	return kvrouter.Request{
		Now:          now,
		Model:        model,
		Chunks:       w.Parsed.Chunks,
		Naming:       b.naming(),
		OutputTokens: w.Parsed.OutputTokens,
		Engine:       engineProfile(pool),
		Priority:     uint8(w.View.Priority(w.Tenant, w.Route)),
		BodyBytes:    len(w.Body),
		Zone:         b.server.options.Zone,
		MaxWait:      maxWait(w),
		SlowStartAllowed: func(address string) bool {
			return b.server.slowStart.Allowed(now, pool.Config.GetBackends(), address)
		},
		SaltFor: func(weightVersion string) string {
			return replica.CacheSalt(model, weightVersion, w.sharingDomain(b.server.options.Source.View()))
		},
		Settings:  routerSettings(pool),
		Store:     pool.Store.GetAddress(),
		StoreZone: pool.Store.GetZone(),
		Exclude:   exclude,
		Random:    b.server.random(pool.Config.GetRouting().GetTemperature()),
	}
}

// candidates returns the replicas of a pool that requests may go to. A replica whose
// weight version is not confirmed is none: no cache salt could be right.
func (b *poolBackend) candidates(now time.Duration, pool *routing.Pool) []kvrouter.Candidate {
	candidates := make([]kvrouter.Candidate, 0, len(pool.Replicas))
	for _, listing := range pool.Replicas {
		confirmed := listing.WeightVersion != ""
		if listing.Admitting && confirmed && !b.server.quarantine.Contains(listing.Address, listing.WeightVersion) &&
			!b.server.stale.Contains(now, listing) {
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

// sharingDomain returns the tenant's domain in the newest view, because a wall
// may have gone up while the request waited.
func (w *work) sharingDomain(view *routing.View) string {
	if view != nil {
		if tenant := view.Tenants[w.KeyDigest]; tenant != nil {
			return tenant.SharingDomain
		}
	}
	if w.Tenant == nil {
		return anonymousDomain
	}
	return w.Tenant.SharingDomain
}

// anonymousDomain is the sharing domain of requests without a key.
const anonymousDomain = "anonymous"

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

// address implements target.
func (t *replicaTarget) address() string {
	return t.decision.Address
}

// waitBeforeSend implements target: the replica may be about to finish the prefill of
// chunks that the request shares with an earlier one.
func (t *replicaTarget) waitBeforeSend(w *work) {
	awaited := t.decision.Wait
	if awaited == nil {
		return
	}
	now := t.backend.server.options.Clock
	timer := time.NewTimer(awaited.Deadline() - now())
	defer timer.Stop()
	for {
		changed := awaited.Changed()
		if awaited.Done(now()) {
			return
		}
		select {
		case <-w.Context.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

// stillEligible implements target.
func (t *replicaTarget) stillEligible(w *work) bool {
	pool := t.backend.newestPool(w)
	if pool == nil || !t.backend.mayUse(pool, t.decision.Address, t.decision.WeightVersion) {
		return false
	}
	salt := replica.CacheSalt(pool.Config.GetModel(), t.decision.WeightVersion, w.sharingDomain(t.backend.server.options.Source.View()))
	return salt == t.decision.CacheSalt
}

// findAdmitting returns a pool's replica if it admits requests of a version.
func findAdmitting(pool *routing.Pool, address, weightVersion string) (routing.Replica, bool) {
	return lo.Find(pool.Replicas, func(candidate routing.Replica) bool {
		return candidate.Address == address && candidate.Admitting && candidate.WeightVersion == weightVersion
	})
}

// tryAcquireSlowStart implements target.
func (t *replicaTarget) tryAcquireSlowStart() bool {
	server := t.backend.server
	return server.slowStart.TryAcquire(server.options.Clock(), t.limits, t.decision.Address, t.slowStartUntil)
}

// send implements target.
func (t *replicaTarget) send(ctx context.Context, w *work, attempt int) (Response, error) {
	received, err := t.backend.edge.Send(ctx, t.attempt(w, attempt))
	if err != nil {
		return nil, err
	}
	if err := t.checkVersion(received); err != nil {
		received.Close()
		return nil, err
	}
	return received, nil
}

// attempt describes the attempt to the replica, and announces it to the other nodes.
func (t *replicaTarget) attempt(w *work, number int) Attempt {
	described := w.attempt(t.backend.server, t.decision.Address, number)
	described.Generation = &Generation{
		Model:         w.Destination.Pool.Config.GetModel(),
		WeightVersion: t.decision.WeightVersion,
		CacheSalt:     t.decision.CacheSalt,
		Chunks:        w.Parsed.Chunks,
		OutputTokens:  w.Parsed.OutputTokens,
		Pull:          t.pull(w),
	}
	described.Instance = t.decision.Instance
	if t.decision.Save {
		described.Generation.SaveTo = w.Destination.Pool.Store.GetAddress()
	}
	t.backend.announceDispatch(described)
	return described
}

// pull returns the planned fetch if its source may still be used: the pool's
// store, or an admitting replica of the same version.
func (t *replicaTarget) pull(w *work) *Pull {
	planned := t.decision.Pull
	pool := t.backend.newestPool(w)
	if planned == nil || pool == nil {
		return nil
	}
	if planned.Source != pool.Store.GetAddress() && !t.backend.mayUse(pool, planned.Source, t.decision.WeightVersion) {
		return nil
	}
	return &Pull{Source: planned.Source, FirstChunk: planned.FirstChunk, LastChunk: planned.LastChunk}
}

// mayUse reports whether requests under a weight version may go to a replica, and chunks
// be fetched from it.
func (b *poolBackend) mayUse(pool *routing.Pool, address, weightVersion string) bool {
	found, admits := findAdmitting(pool, address, weightVersion)
	return admits && !b.server.quarantine.Contains(address, weightVersion) &&
		!b.server.stale.Contains(b.server.options.Clock(), found)
}

// checkVersion rejects responses that were produced by other weights.
func (t *replicaTarget) checkVersion(received Response) error {
	actual := received.WeightVersion()
	if actual == "" {
		return nil
	}
	server := t.backend.server
	server.router.ObserveWeightVersion(server.options.Clock(), t.decision.Address, actual)
	if actual != t.decision.WeightVersion {
		server.quarantine.Report(t.decision.Address, actual)
		return &versionMismatchError{expected: t.decision.WeightVersion, actual: actual}
	}
	return nil
}

// handleRefusal implements target.
func (t *replicaTarget) handleRefusal(refusal *outbound.RefusedError) {
	if !refusal.WrongTarget {
		return
	}
	t.backend.server.handleWrongTarget(routing.Replica{
		Address: t.decision.Address, Instance: t.decision.Instance, WeightVersion: t.decision.WeightVersion,
	}, refusal)
}

// hasSpareCapacity implements target. A replica that is to load other weights takes no
// requests while it does.
func (t *replicaTarget) hasSpareCapacity() bool {
	server := t.backend.server
	now := server.options.Clock()
	loadingWeights := t.targetVersion != "" && t.targetVersion != t.decision.WeightVersion
	active := server.router.ActiveRequests(now, t.decision.Address)
	return !loadingWeights && now >= t.slowStartUntil && active < float64(t.slots)*spareCapacityFraction
}

// expectedDelay implements target.
func (t *replicaTarget) expectedDelay() time.Duration { return t.decision.ExpectedDelay }

// spareCapacityFraction is the fraction of its slots up to which a replica certainly has
// free ones.
const spareCapacityFraction = 0.5

// firstOutput implements target.
func (t *replicaTarget) firstOutput() {
	t.decision.Reservation.FirstToken(t.backend.server.options.Clock())
}

// finish implements target.
func (t *replicaTarget) finish(completed bool) {
	t.decision.Reservation.Finish(t.backend.server.options.Clock(), completed)
}
