package dataplane

import (
	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/destinations"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// routeMatcher finds the route and the destination of a request by its host and
// the longest path prefix.
type routeMatcher struct {
	destinations *destinations.Set
	sampler      *destinationSampler
}

// handle implements handler.
func (r *routeMatcher) handle(e *exchange, next func()) {
	e.host = caller.HostName(e.request)
	route := e.view.Hosts[e.host].Match(e.request.URL.EscapedPath())
	if route == nil {
		e.refuse(caller.NewError(caller.KindUnknownHost,
			"no route serves the host %q at this path: send a Host header and a path that the operator has configured", e.host))
		return
	}
	e.route = route
	e.destination = route.Destination(r.sampler.next(e.host, route))
	e.counters = r.destinations.State(e.destination)
	if e.tenant == nil && !route.Config.GetPublic() {
		e.refuse(unauthorizedError())
		return
	}
	next()
}

// requestParser parses the caller's headers.
type requestParser struct{}

// handle implements handler.
func (*requestParser) handle(e *exchange, next func()) {
	parsed, err := e.edges.Callers.Describe(e.request)
	if err != nil {
		e.refuse(asCallerError(err))
		return
	}
	pool := e.destination.Pool
	if pool != nil && parsed.Model != "" && parsed.Model != pool.Config.GetModel() {
		e.refuse(caller.NewError(caller.KindModelMismatch,
			"the host %q serves the model %q, not %q: send the request to that model's host or leave %s out",
			e.host, pool.Config.GetModel(), parsed.Model, caller.HeaderModel))
		return
	}
	e.parsed = applyRouteKind(parsed, e.route)
	next()
}

// applyRouteKind lets the route's kind override the caller's headers.
func applyRouteKind(parsed caller.Request, route *routing.Route) caller.Request {
	switch route.Config.GetKind() {
	case ridgeswitchv1.RequestKind_REPEATABLE:
		parsed.Idempotent = true
	case ridgeswitchv1.RequestKind_AT_MOST_ONCE:
		parsed.Idempotent = false
	case ridgeswitchv1.RequestKind_STREAMING:
		parsed.Streamed = true
		parsed.Idempotent = route.Config.GetResumable()
	}
	return parsed
}
