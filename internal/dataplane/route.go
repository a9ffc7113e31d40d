package dataplane

import (
	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// routeFinder finds the route and the destination of a request by its host and
// the longest path prefix.
type routeFinder struct {
	destinations *destinations
	draws        *shareDraws
}

// handle implements handler.
func (r *routeFinder) handle(e *exchange, next func()) {
	e.host = caller.HostName(e.request)
	route := e.view.Hosts[e.host].Find(e.request.URL.EscapedPath())
	if route == nil {
		e.refuse(caller.NewProblem(caller.KindUnknownHost,
			"no route serves the host %q at this path: send a Host header and a path that the operator has configured", e.host))
		return
	}
	e.route = route
	e.destination = route.Destination(r.draws.next(e.host, route))
	e.counters = r.destinations.of(e.destination)
	if e.tenant == nil && !route.Config.GetPublic() {
		e.refuse(unauthorized())
		return
	}
	next()
}

// headerReader reads what the caller says of its request.
type headerReader struct{}

// handle implements handler.
func (*headerReader) handle(e *exchange, next func()) {
	described, err := e.edges.Callers.Describe(e.request)
	if err != nil {
		e.refuse(asProblem(err))
		return
	}
	pool := e.destination.Pool
	if pool != nil && described.Model != "" && described.Model != pool.Config.GetModel() {
		e.refuse(caller.NewProblem(caller.KindModelMismatch,
			"the host %q serves the model %q, not %q: send the request to that model's host or leave %s out",
			e.host, pool.Config.GetModel(), described.Model, caller.HeaderModel))
		return
	}
	e.described = byRoute(described, e.route)
	next()
}

// byRoute lets the route's kind decide what the caller's headers would decide
// otherwise.
func byRoute(described caller.Request, route *routing.Route) caller.Request {
	switch route.Config.GetKind() {
	case ridgeswitchv1.RequestKind_REPEATABLE:
		described.Repeatable = true
	case ridgeswitchv1.RequestKind_AT_MOST_ONCE:
		described.Repeatable = false
	case ridgeswitchv1.RequestKind_STREAMING:
		described.Streamed = true
		described.Repeatable = route.Config.GetResumable()
	}
	return described
}
