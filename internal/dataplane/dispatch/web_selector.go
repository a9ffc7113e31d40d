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

// webSelector selects back ends for the requests to web services.
type webSelector struct {
	options  *Options
	inFlight *inFlight
	// rotation counts the selections. It rotates the choice among equally loaded back ends.
	rotation atomic.Uint64
}

// newWebSelector returns the selector for all web services.
func newWebSelector(options *Options, running *inFlight) *webSelector {
	return &webSelector{options: options, inFlight: running}
}

// selectTarget implements selector. It selects the back end with the fewest attempts in flight
// through this node, among those that admit requests. Back ends that failed recently are
// avoided as long as there are others.
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

// slowStartExhausted reports whether a back end is in slow start and its rate limit is
// exhausted.
func (s *webSelector) slowStartExhausted(now time.Duration, service *routing.WebService, candidate routing.Replica) bool {
	return now < candidate.SlowStartUntil && !s.options.SlowStart.Allowed(now, service.Config.GetBackends(), candidate.Address)
}

// newestService returns the request's service in the newest view, or nil if that view does not
// contain it. Before that, it passes the view to the health tracker, which tracks the view's
// back ends.
func (s *webSelector) newestService(r *pendingRequest) *routing.WebService {
	view := s.options.Source.View()
	if view == nil {
		return nil
	}
	s.options.Health.Follow(view)
	return view.WebServices[r.Destination.WebService.Config.GetName()]
}

// fewestInFlight returns the back end with the fewest attempts in flight, among those that
// admit requests. The rotation breaks ties, so that idle back ends get requests in turn.
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

// noWebBackendError returns the error for the caller if no back end can be selected.
func noWebBackendError() *caller.Error {
	return caller.NewError(caller.KindNoBackend,
		"no back end of the web service takes requests: send the request again")
}

// webTarget is a back end selected for one attempt.
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

// hasSpareCapacity implements target. It counts only the attempts of this node, so a back end
// for which it returns true may still be at capacity because of requests from other nodes. The
// refusals of such a back end count as failures, and only the comparison with the other back
// ends keeps it from being ejected.
func (t *webTarget) hasSpareCapacity() bool {
	return t.selector.inFlight.count(t.chosen.Address) < t.chosen.Slots
}

// expectedDelay implements target.
func (t *webTarget) expectedDelay() time.Duration { return 0 }

// withdrawn implements target.
func (t *webTarget) withdrawn() bool { return false }

// firstOutput implements target. Web services have no weights.
func (t *webTarget) firstOutput(*pendingRequest) {}

// finish implements target.
func (t *webTarget) finish(bool) {}
