package dataplane

import (
	"net/http"
)

// handler is one step of the chain. It refuses the exchange or calls next.
type handler interface {
	handle(e *exchange, next func())
}

// chain runs an exchange through its handlers in order.
type chain []handler

// run starts the chain for an exchange.
func (c chain) run(e *exchange) {
	if len(c) == 0 {
		return
	}
	c[0].handle(e, func() { c[1:].run(e) })
}

// newChain returns the handlers in their order. The check that the node may serve comes
// before everything that reads state, so that a node which was frozen refuses before it
// acts on stale state. Only the request's identity comes first, so that every refusal
// carries it.
func (s *Server) newChain() chain {
	steps := chain{
		&requestIdentifier{ids: s.ids},
		&servingCheck{source: s.options.Source},
		headerLimiter{},
		&authenticator{},
		&routeMatcher{destinations: s.destinations, sampler: newDestinationSampler()},
		&requestParser{},
	}
	if s.recorder != nil {
		steps = append(steps, &requestRecorder{recorder: s.recorder, clock: s.options.Clock, started: s.options.Clock()})
	}
	bodies := &bodyReader{maxBytes: s.options.MaxBodyBytes}
	steps = append(steps,
		&deadlineSetter{fallback: s.options.RequestTimeout},
		&tenantLimiter{limiter: s.limiter, bodies: bodies, clock: s.options.Clock},
		bodies,
		&duplicateChecker{register: s.duplicates, clock: s.options.Clock},
	)
	if s.options.Claims != nil {
		steps = append(steps, &claimHandler{claims: s.options.Claims})
	}
	return append(steps, s.newDispatcher())
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.chain.run(&exchange{
		edges:   &s.options.Edges,
		writer:  writer,
		request: request,
		ctx:     request.Context(),
		arrived: s.options.Clock(),
	})
}
