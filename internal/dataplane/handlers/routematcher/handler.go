// Package routematcher finds the route of a request by its host and the longest matching path
// prefix, and selects one of the route's destinations. It refuses requests without a valid
// key on routes that are not public.
package routematcher

import (
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/destinations"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/authenticator"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// Handler matches requests to routes.
type Handler struct {
	destinations *destinations.Set
	sampler      *destinationSampler
}

// New returns the handler. set contains the counters of the destinations.
func New(set *destinations.Set) *Handler {
	return &Handler{destinations: set, sampler: newDestinationSampler()}
}

// Handle implements exchange.Handler.
func (h *Handler) Handle(e *exchange.Exchange, next func()) {
	e.Host = caller.HostName(e.Request)
	route := e.View.Hosts[e.Host].Match(e.Request.URL.EscapedPath())
	if route == nil {
		e.Refuse(caller.NewError(caller.KindUnknownHost,
			"no route serves the host %q at this path: send a Host header and a path that the operator has configured", e.Host))
		return
	}
	e.Route = route
	e.Destination = route.Destination(h.sampler.next(e.Host, route))
	e.Counters = h.destinations.State(e.Destination)
	if e.Tenant == nil && !route.Config.GetPublic() {
		e.Refuse(authenticator.UnauthorizedError())
		return
	}
	next()
}
