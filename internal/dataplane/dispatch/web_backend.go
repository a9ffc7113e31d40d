package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/edges"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/health"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// webBackend runs attempts on the back ends of web services.
type webBackend struct {
	options  *Options
	inFlight *inFlight
	// rotation rotates the choice among equally loaded back ends.
	rotation atomic.Uint64
}

// newWebBackend returns the backend of all web services.
func newWebBackend(options *Options, running *inFlight) *webBackend {
	return &webBackend{options: options, inFlight: running}
}

// webTarget is a back end chosen for one attempt.
type webTarget struct {
	backend *webBackend
	chosen  routing.Replica
	limits  *ridgeswitchv1.BackendLimits
}

// choose implements backend: the fewest attempts in flight win. Back ends that failed
// lately are avoided as long as there are others.
func (b *webBackend) choose(w *work) (target, *caller.Error) {
	service := b.newestService(w)
	if service == nil {
		return nil, noWebBackendError().WithRetryAfter(b.options.BackendRetry)
	}
	now := b.options.Clock()
	var chosen routing.Replica
	found := false
	b.options.Health.Choose(now, w.tried, w.tracker.Sent() == 0, func(exclude func(string) bool) health.SelectionResult {
		chosen, found = b.fewestInFlight(service, func(candidate routing.Replica) bool {
			return b.options.Stale.Contains(now, candidate) || b.slowStartExhausted(now, service, candidate) || exclude(candidate.Address)
		})
		if !found {
			return health.NoneLeft
		}
		return health.Found
	})
	if !found {
		return nil, noWebBackendError().WithRetryAfter(b.options.BackendRetry)
	}
	return &webTarget{backend: b, chosen: chosen, limits: service.Config.GetBackends()}, nil
}

// slowStartExhausted reports whether a back end is in slow start and takes no more
// requests now.
func (b *webBackend) slowStartExhausted(now time.Duration, service *routing.WebService, candidate routing.Replica) bool {
	return now < candidate.SlowStartUntil && !b.options.SlowStart.Allowed(now, service.Config.GetBackends(), candidate.Address)
}

// newestService returns the work's service in the newest view, or nil if it is gone. It
// makes the back ends of that view known to the health tracker first.
func (b *webBackend) newestService(w *work) *routing.WebService {
	view := b.options.Source.View()
	if view == nil {
		return nil
	}
	b.options.Health.Follow(view)
	return view.WebServices[w.Destination.WebService.Config.GetName()]
}

// fewestInFlight returns the admitting back end with the fewest attempts.
func (b *webBackend) fewestInFlight(service *routing.WebService, exclude func(routing.Replica) bool) (routing.Replica, bool) {
	best, bestCount, found := routing.Replica{}, 0, false
	total := uint64(len(service.Replicas))
	rotation := b.rotation.Add(1)
	for offset := range total {
		candidate := service.Replicas[(rotation+offset)%total]
		if !candidate.Admitting || exclude(candidate) {
			continue
		}
		count := b.inFlight.count(candidate.Address)
		if !found || count < bestCount {
			best, bestCount, found = candidate, count, true
		}
	}
	return best, found
}

// noWebBackendError reports that no back end admits requests.
func noWebBackendError() *caller.Error {
	return caller.NewError(caller.KindNoBackend,
		"no back end of the web service takes requests: send the request again")
}

// address implements target.
func (t *webTarget) address() string {
	return t.chosen.Address
}

// waitBeforeSend implements target.
func (t *webTarget) waitBeforeSend(*work) {}

// stillEligible implements target.
func (t *webTarget) stillEligible(w *work) bool {
	service := t.backend.newestService(w)
	if service == nil {
		return false
	}
	for _, candidate := range service.Replicas {
		if candidate.Address == t.chosen.Address {
			return candidate.Admitting && candidate.Instance == t.chosen.Instance
		}
	}
	return false
}

// tryAcquireSlowStart implements target.
func (t *webTarget) tryAcquireSlowStart() bool {
	options := t.backend.options
	return options.SlowStart.TryAcquire(options.Clock(), t.limits, t.chosen.Address, t.chosen.SlowStartUntil)
}

// send implements target.
func (t *webTarget) send(ctx context.Context, w *work, attempt int) (edges.Response, error) {
	described := w.attempt(t.backend.options.IDs, t.chosen.Address, attempt)
	described.Instance = t.chosen.Instance
	return t.backend.options.WebServices.Send(ctx, described)
}

// handleRefusal implements target.
func (t *webTarget) handleRefusal(refusal *outbound.RefusedError) {
	if !refusal.WrongTarget {
		return
	}
	t.backend.options.recordWrongTarget(t.chosen, refusal)
}

// hasSpareCapacity implements target. What the other nodes have sent is not known; back
// ends at capacity refuse requests from all nodes.
func (t *webTarget) hasSpareCapacity() bool {
	return t.backend.inFlight.count(t.chosen.Address) < t.chosen.Slots
}

// expectedDelay implements target.
func (t *webTarget) expectedDelay() time.Duration { return 0 }

// firstOutput implements target.
func (t *webTarget) firstOutput() {}

// finish implements target.
func (t *webTarget) finish(bool) {}
