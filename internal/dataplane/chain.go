package dataplane

import (
	"net/http"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/dispatch"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/authenticator"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/bodyreader"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/claimer"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/deadline"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/duplicatechecker"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/headerlimiter"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/requestidentifier"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/requestparser"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/requestrecorder"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/routematcher"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/servingcheck"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/tenantlimiter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

// chain is the sequence of handlers that process an exchange.
type chain []exchange.Handler

// run passes an exchange to the first handler, which may call the next one.
func (c chain) run(e *exchange.Exchange) {
	if len(c) == 0 {
		return
	}
	c[0].Handle(e, func() { c[1:].run(e) })
}

// newChain returns the handlers in the order in which they run. The check that the node may
// serve precedes every handler that reads state, so that a node that was suspended refuses
// requests before it acts on stale state. Only the handler that identifies requests runs
// earlier, so that every refusal contains the request's ID.
func (s *Server) newChain() chain {
	clock := s.options.Clock
	handlers := chain{
		requestidentifier.New(s.ids),
		servingcheck.New(s.options.Source),
		headerlimiter.New(),
		authenticator.New(),
		routematcher.New(s.destinations),
		requestparser.New(),
	}
	if s.recorder != nil {
		handlers = append(handlers, requestrecorder.New(s.recorder, clock))
	}
	bodies := bodyreader.New(s.options.MaxBodyBytes)
	handlers = append(handlers,
		deadline.New(s.options.RequestTimeout),
		tenantlimiter.New(s.limiter, bodies),
		bodies,
		duplicatechecker.New(s.duplicates, clock),
	)
	if s.options.Claims != nil {
		handlers = append(handlers, claimer.New(s.options.Claims))
	}
	return append(handlers, s.dispatcher)
}

// newDispatcher returns the last handler of the chain. If reports are read page by page, the
// start-up gate delays prompts until the cached chunks of most replicas are known.
func (s *Server) newDispatcher() *dispatch.Dispatcher {
	options := dispatch.Options{
		Log:           s.options.Log,
		MaxInFlight:   s.options.Inbound.Limits().BackendConnections,
		Source:        s.options.Source,
		Clock:         s.options.Clock,
		Zone:          s.options.Zone,
		Replicas:      s.options.Edges.Replicas,
		WebServices:   s.options.Edges.WebServices,
		IDs:           s.ids,
		Router:        s.router,
		Naming:        kvrouter.Chained,
		Health:        s.health,
		Quarantine:    s.quarantine,
		StaleBackends: s.staleBackends,
		SlowStart:     s.slowStart,
		Updates:       s.updates,
		MaxAttempts:   s.options.MaxAttempts,
		MaxUnsent:     s.options.MaxUnsent,
		BackendRetry:  s.options.BackendRetry,
	}
	if s.options.Edges.Reports != nil {
		options.Naming = kvrouter.ByID
		options.StartupGate = s.startupGate
	}
	return dispatch.New(options)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.chain.run(&exchange.Exchange{
		Edges:   &s.options.Edges,
		Writer:  writer,
		Request: request,
		Context: request.Context(),
		Arrived: s.options.Clock(),
	})
}
