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

// spareCapacityFraction is the fraction of a replica's slots in use below which the replica
// is assumed to have free slots.
const spareCapacityFraction = 0.5

// maxSendDelay bounds the time from the decision to send an attempt whose start is limited until
// it is sent. The replica counts the time of the attempt from its arrival.
const maxSendDelay = 300 * time.Millisecond

// replicaTarget is a replica selected for one attempt.
type replicaTarget struct {
	selector *poolSelector
	decision kvrouter.Decision
	// limits are the limits of the pool's back ends, such as the request rate in slow start.
	limits *ridgeswitchv1.BackendLimits
	// slowStartUntil is when the slow start of the replica ends.
	slowStartUntil time.Duration
	// slots is how many requests the replica runs at a time; 0 if unknown.
	slots int
	// targetVersion is the weight version that the configuration sets for the pool.
	targetVersion string
	// sentAt is when the attempt was sent. waiting is the attempt in the selector's
	// waitingAttempts; nil before it is sent.
	sentAt  time.Duration
	waiting *waitingAttempt
}

// address implements target.
func (t *replicaTarget) address() string {
	return t.decision.Address
}

// waitBeforeSend implements target: it waits for the prefill of an earlier request that
// shares chunks with this one, if the router decided so.
func (t *replicaTarget) waitBeforeSend(r *pendingRequest) {
	awaited := t.decision.Wait
	if awaited == nil {
		return
	}
	now := t.selector.options.Clock
	timer := time.NewTimer(awaited.Deadline() - now())
	defer timer.Stop()
	for {
		changed := awaited.Changed()
		if awaited.Done(now()) {
			return
		}
		select {
		case <-r.Context.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

// stillEligible implements target.
func (t *replicaTarget) stillEligible(r *pendingRequest) bool {
	pool := t.selector.newestPool(r)
	if pool == nil || !t.selector.mayUse(pool, t.decision.Address, t.decision.WeightVersion) {
		return false
	}
	salt := replica.CacheSalt(pool.Config.GetModel(), t.decision.WeightVersion, r.sharingDomain(t.selector.options.Source.View()))
	return salt == t.decision.CacheSalt
}

// tryAcquireSlowStart implements target.
func (t *replicaTarget) tryAcquireSlowStart() bool {
	options := t.selector.options
	return options.SlowStart.TryAcquire(options.Clock(), t.limits, t.decision.Address, t.slowStartUntil)
}

// send implements target.
func (t *replicaTarget) send(ctx context.Context, r *pendingRequest, attempt int) (edges.Response, error) {
	described := t.attempt(r, attempt)
	if remaining, limited := t.latestStart(r); limited {
		described.Remaining = lesser(described.Remaining, remaining)
		ctx = outbound.WithSendBy(ctx, time.Now().Add(maxSendDelay))
	}
	t.selector.announceDispatch(described)
	t.sentAt = t.selector.options.Clock()
	ctx, t.waiting = t.selector.waiting.begin(ctx, t.decision.Address, t.decision.WeightVersion)
	received, err := t.selector.options.Replicas.Send(ctx, described)
	if err != nil {
		return nil, err
	}
	if !received.Streamed() {
		t.selector.waiting.outputBegan(t.waiting)
	}
	if err := t.checkVersion(received); err != nil {
		received.Close()
		return nil, err
	}
	return received, nil
}

// attempt returns the description of an attempt on the replica.
func (t *replicaTarget) attempt(r *pendingRequest, number int) edges.Attempt {
	described := r.attempt(t.selector.options.IDs, t.decision.Address, number)
	described.Generation = &edges.Generation{
		Model:         r.Destination.Pool.Config.GetModel(),
		WeightVersion: t.decision.WeightVersion,
		CacheSalt:     t.decision.CacheSalt,
		Chunks:        r.Parsed.Chunks,
		OutputTokens:  r.Parsed.OutputTokens,
		Pull:          t.pull(r),
	}
	described.Instance = t.decision.Instance
	if t.decision.Save {
		described.Generation.SaveTo = r.Destination.Pool.Store.GetAddress()
	}
	return described
}

// latestStart returns for how long requests may still begin on the replica; false if its weights
// do not limit that. An attempt gets no more time, so that the replica drops it from its queue
// then, even if this node is suspended.
func (t *replicaTarget) latestStart(r *pendingRequest) (time.Duration, bool) {
	current, found := t.newestReplica(r)
	if !found {
		return 0, false
	}
	limit, limited := current.LatestStart()
	return max(limit-t.selector.options.Clock(), time.Millisecond), limited
}

// lesser returns the lesser of the time of an attempt, where 0 means no limit, and a limit.
func lesser(remaining, limit time.Duration) time.Duration {
	if remaining <= 0 {
		return limit
	}
	return min(remaining, limit)
}

// withdrawn implements target.
func (t *replicaTarget) withdrawn() bool { return t.waiting != nil && t.waiting.withdrawn.Load() }

// pull returns the planned pull if its source is the pool's store or a replica of the same
// weight version that may still be used. Otherwise, or if no pull is planned, it returns nil.
func (t *replicaTarget) pull(r *pendingRequest) *edges.Pull {
	planned := t.decision.Pull
	pool := t.selector.newestPool(r)
	if planned == nil || pool == nil {
		return nil
	}
	if planned.Source != pool.Store.GetAddress() && !t.selector.mayUse(pool, planned.Source, t.decision.WeightVersion) {
		return nil
	}
	return &edges.Pull{Source: planned.Source, FirstChunk: planned.FirstChunk, LastChunk: planned.LastChunk}
}

// checkVersion returns an error for a response that was produced by another weight version
// than the selected one.
func (t *replicaTarget) checkVersion(received edges.Response) error {
	actual := received.WeightVersion()
	if actual == "" {
		return nil
	}
	options := t.selector.options
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
	t.selector.options.recordWrongTarget(routing.Replica{
		Address: t.decision.Address, Instance: t.decision.Instance, WeightVersion: t.decision.WeightVersion,
	}, refusal)
}

// hasSpareCapacity implements target. A replica that has to load another weight version
// refuses requests while it loads.
func (t *replicaTarget) hasSpareCapacity() bool {
	options := t.selector.options
	now := options.Clock()
	loadingWeights := t.targetVersion != "" && t.targetVersion != t.decision.WeightVersion
	active := options.Router.ActiveRequests(now, t.decision.Address)
	return !loadingWeights && now >= t.slowStartUntil && active < float64(t.slots)*spareCapacityFraction
}

// expectedDelay implements target.
func (t *replicaTarget) expectedDelay() time.Duration { return t.decision.ExpectedDelay }

// firstOutput implements target.
func (t *replicaTarget) firstOutput(r *pendingRequest) {
	now := t.selector.options.Clock()
	t.selector.waiting.outputBegan(t.waiting)
	t.decision.Reservation.FirstToken(now)
	if current, found := t.newestReplica(r); found {
		t.selector.lateStarts.began(now, t.sentAt, current)
	}
}

// newestReplica returns the replica in the newest view. It returns false if that view does not
// contain the replica with the weight version of the attempt.
func (t *replicaTarget) newestReplica(r *pendingRequest) (routing.Replica, bool) {
	pool := t.selector.newestPool(r)
	if pool == nil {
		return routing.Replica{}, false
	}
	return findReplica(pool, t.decision.Address, t.decision.WeightVersion)
}

// finish implements target.
func (t *replicaTarget) finish(completed bool) {
	if t.waiting != nil {
		t.selector.waiting.end(t.waiting)
	}
	t.decision.Reservation.Finish(t.selector.options.Clock(), completed)
}
