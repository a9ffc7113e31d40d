package dispatch

import (
	"context"
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/edges"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

// spareCapacityFraction is the fraction of its slots up to which a replica certainly has
// free ones.
const spareCapacityFraction = 0.5

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
	now := t.backend.options.Clock
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
	salt := replica.CacheSalt(pool.Config.GetModel(), t.decision.WeightVersion, w.sharingDomain(t.backend.options.Source.View()))
	return salt == t.decision.CacheSalt
}

// tryAcquireSlowStart implements target.
func (t *replicaTarget) tryAcquireSlowStart() bool {
	options := t.backend.options
	return options.SlowStart.TryAcquire(options.Clock(), t.limits, t.decision.Address, t.slowStartUntil)
}

// send implements target.
func (t *replicaTarget) send(ctx context.Context, w *work, attempt int) (edges.Response, error) {
	received, err := t.backend.options.Replicas.Send(ctx, t.attempt(w, attempt))
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
func (t *replicaTarget) attempt(w *work, number int) edges.Attempt {
	described := w.attempt(t.backend.options.IDs, t.decision.Address, number)
	described.Generation = &edges.Generation{
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
func (t *replicaTarget) pull(w *work) *edges.Pull {
	planned := t.decision.Pull
	pool := t.backend.newestPool(w)
	if planned == nil || pool == nil {
		return nil
	}
	if planned.Source != pool.Store.GetAddress() && !t.backend.mayUse(pool, planned.Source, t.decision.WeightVersion) {
		return nil
	}
	return &edges.Pull{Source: planned.Source, FirstChunk: planned.FirstChunk, LastChunk: planned.LastChunk}
}

// checkVersion rejects responses that were produced by other weights.
func (t *replicaTarget) checkVersion(received edges.Response) error {
	actual := received.WeightVersion()
	if actual == "" {
		return nil
	}
	options := t.backend.options
	options.Router.ObserveWeightVersion(options.Clock(), t.decision.Address, actual)
	if actual != t.decision.WeightVersion {
		options.Quarantine.Report(t.decision.Address, actual)
		return &versionMismatchError{expected: t.decision.WeightVersion, actual: actual}
	}
	return nil
}

// handleRefusal implements target.
func (t *replicaTarget) handleRefusal(refusal *outbound.RefusedError) {
	if !refusal.WrongTarget {
		return
	}
	t.backend.options.recordWrongTarget(routing.Replica{
		Address: t.decision.Address, Instance: t.decision.Instance, WeightVersion: t.decision.WeightVersion,
	}, refusal)
}

// hasSpareCapacity implements target. A replica that is to load other weights takes no
// requests while it does.
func (t *replicaTarget) hasSpareCapacity() bool {
	options := t.backend.options
	now := options.Clock()
	loadingWeights := t.targetVersion != "" && t.targetVersion != t.decision.WeightVersion
	active := options.Router.ActiveRequests(now, t.decision.Address)
	return !loadingWeights && now >= t.slowStartUntil && active < float64(t.slots)*spareCapacityFraction
}

// expectedDelay implements target.
func (t *replicaTarget) expectedDelay() time.Duration { return t.decision.ExpectedDelay }

// firstOutput implements target.
func (t *replicaTarget) firstOutput() {
	t.decision.Reservation.FirstToken(t.backend.options.Clock())
}

// finish implements target.
func (t *replicaTarget) finish(completed bool) {
	t.decision.Reservation.Finish(t.backend.options.Clock(), completed)
}
