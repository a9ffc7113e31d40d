package dataplane

import (
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// hostRouter finds the destination of the request's host.
type hostRouter struct {
	destinations *destinations
}

// handle implements handler.
func (r *hostRouter) handle(e *exchange, next func()) {
	e.host = caller.HostName(e.request)
	destination, known := e.view.Destinations[e.host]
	if !known {
		e.refuse(caller.NewProblem(caller.KindUnknownHost,
			"no route serves the host %q: send a Host header that the operator has configured", e.host))
		return
	}
	e.destination = destination
	e.counters = r.destinations.of(destination)
	if e.tenant == nil && needsKey(e) {
		e.refuse(unauthorized())
		return
	}
	next()
}

// needsKey tells whether the destination needs a tenant's key. Pools always
// do.
func needsKey(e *exchange) bool {
	return e.destination.Pool != nil || !e.destination.Public
}

// headerReader reads the caller's headers.
type headerReader struct{}

// handle implements handler.
func (*headerReader) handle(e *exchange, next func()) {
	described, err := caller.Parse(e.request)
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
	e.described = described
	next()
}
