// Package requestparser parses the caller's headers according to the callers' protocol, and
// refuses a request for another model than that of the pool.
package requestparser

import (
	"github.com/pkg/errors"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// Handler parses the headers of requests.
type Handler struct{}

// New returns the handler.
func New() *Handler { return &Handler{} }

// Handle implements exchange.Handler.
func (*Handler) Handle(e *exchange.Exchange, next func()) {
	parsed, err := e.Edges.Callers.Describe(e.Request)
	if err != nil {
		e.Refuse(asCallerError(err))
		return
	}
	pool := e.Destination.Pool
	if pool != nil && parsed.Model != "" && parsed.Model != pool.Config.GetModel() {
		e.Refuse(caller.NewError(caller.KindModelMismatch,
			"the host %q serves the model %q, not %q: send the request to that model's host or leave %s out",
			e.Host, pool.Config.GetModel(), parsed.Model, caller.HeaderModel))
		return
	}
	e.Parsed = applyRouteKind(parsed, e.Route)
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

// asCallerError returns the *caller.Error in the chain of an error, or a new one of kind
// internal.
func asCallerError(err error) *caller.Error {
	var found *caller.Error
	if errors.As(err, &found) {
		return found
	}
	return caller.NewError(caller.KindInternal, "the node failed: %v", err)
}
