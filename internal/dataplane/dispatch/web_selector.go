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

// webSelector selects back ends for the requests of web services.
type webSelector struct {
	options  *Options
	inFlight *inFlight
	// rotation rotates the choice among equally loaded back ends.
	rotation atomic.Uint64
}

// newWebSelector returns the selector of all web services.
func newWebSelector(options *Options, running *inFlight) *webSelector {
	return &webSelector{options: options, inFlight: running}
}

// selectTarget implements selector: of the admitting back ends, the one with the fewest
// attempts in flight through this node wins. Back ends that failed lately are avoided as long
// as there are others.
func (s *webSelector) selectTarget(r *pendingRequest) (target, *caller.Error) {
	service := s.newestService(r)
	if service == nil {
		return nil, noWebBackendError().WithRetryAfter(s.options.BackendRetry)
	}
	now := s.options.Clock()
	var chosen routing.Replica
	found := false
	s.options.Health.TryHealthiestFirst(now, r.tried, r.tracker.Sent() == 0, func(exclude func(string) bool) health.SelectionResult {
		chosen, found = s.fewestInFlight(service, func(candidate routing.Replica) bool {
			return s.options.StaleBackends.Contains(now, candidate) || s.slowStartExhausted(now, service, candidate) || exclude(candidate.Address)
		})
		if !found {
			return health.NoneLeft
		}
		return health.Found
	})
	if !found {
		return nil, noWebBackendError().WithRetryAfter(s.options.BackendRetry)
	}
	return &webTarget{selector: s, chosen: chosen, limits: service.Config.GetBackends()}, nil
}

// slowStartExhausted reports whether a back end is in slow start and takes no more
// requests now.
func (s *webSelector) slowStartExhausted(now time.Duration, service *routing.WebService, candidate routing.Replica) bool {
	return now < candidate.SlowStartUntil && !s.options.SlowStart.Allowed(now, service.Config.GetBackends(), candidate.Address)
}

// newestService returns the request's service in the newest view, or nil if it is gone. It
// makes the back ends of that view known to the health tracker first.
func (s *webSelector) newestService(r *pendingRequest) *routing.WebService {
	view := s.options.Source.View()
	if view == nil {
		return nil
	}
	s.options.Health.Follow(view)
	return view.WebServices[r.Destination.WebService.Config.GetName()]
}

// fewestInFlight returns the admitting back end with the fewest attempts in flight. Among
// equals the rotation decides, so that idle back ends get requests in turn.
func (s *webSelector) fewestInFlight(service *routing.WebService, exclude func(routing.Replica) bool) (routing.Replica, bool) {
	best, bestCount, found := routing.Replica{}, 0, false
	total := uint64(len(service.Replicas))
	rotation := s.rotation.Add(1)
	for offset := range total {
		candidate := service.Replicas[(rotation+offset)%total]
		if !candidate.Admitting || exclude(candidate) {
			continue
		}
		count := s.inFlight.count(candidate.Address)
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

// webTarget is a back end chosen for one attempt.
type webTarget struct {
	selector *webSelector
	chosen   routing.Replica
	limits   *ridgeswitchv1.BackendLimits
}

// address implements target.
func (t *webTarget) address() string {
	return t.chosen.Address
}

// waitBeforeSend implements target.
func (t *webTarget) waitBeforeSend(*pendingRequest) {}

// stillEligible implements target.
func (t *webTarget) stillEligible(r *pendingRequest) bool {
	service := t.selector.newestService(r)
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
	options := t.selector.options
	return options.SlowStart.TryAcquire(options.Clock(), t.limits, t.chosen.Address, t.chosen.SlowStartUntil)
}

// send implements target.
func (t *webTarget) send(ctx context.Context, r *pendingRequest, attempt int) (edges.Response, error) {
	described := r.attempt(t.selector.options.IDs, t.chosen.Address, attempt)
	described.Instance = t.chosen.Instance
	return t.selector.options.WebServices.Send(ctx, described)
}

// handleRefusal implements target.
func (t *webTarget) handleRefusal(refusal *outbound.RefusedError) {
	if !refusal.WrongTarget {
		return
	}
	t.selector.options.recordWrongTarget(t.chosen, refusal)
}

// hasSpareCapacity implements target. What the other nodes have sent is not known, so that a
// back end may be at capacity nevertheless. Its refusals then count as failures, and only the
// comparison with the other back ends keeps it from being ejected.
func (t *webTarget) hasSpareCapacity() bool {
	return t.selector.inFlight.count(t.chosen.Address) < t.chosen.Slots
}

// expectedDelay implements target.
func (t *webTarget) expectedDelay() time.Duration { return 0 }

// firstOutput implements target.
func (t *webTarget) firstOutput() {}

// finish implements target.
func (t *webTarget) finish(bool) {}
