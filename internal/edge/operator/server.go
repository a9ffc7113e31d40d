package operator

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/core/trace"
	"github.com/zeromicro/go-zero/rest"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

const (
	// maxBodyBytes bounds the body of a call: the largest configuration, and 64 KiB for
	// the order header.
	maxBodyBytes = dynamic.MaxDocumentBytes + 64<<10
	// maxConcurrentCalls bounds the calls that run at once; a call beyond it is
	// refused with 503.
	maxConcurrentCalls = 256
	// callTimeout bounds the wait for a response of control. An order without a response by
	// then is reported as pending.
	callTimeout = 10 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// connectionShare is the part of the node's connections that operators may open at a port.
	connectionShare = 0.25
	// headerTimeout bounds the wait for the header of a request.
	headerTimeout = 5 * time.Second
	// readTimeout bounds the wait for a complete request.
	readTimeout = 30 * time.Second
	// writeTimeout bounds a complete call, from the reading of the request to the end of the
	// response.
	writeTimeout = readTimeout + callTimeout + 5*time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
	// stopTimeout bounds the wait for running calls when the server stops.
	stopTimeout = 5 * time.Second
)

// Server is the HTTP server of a node's control interface.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// NewServer returns a server that listens on an address, such as "127.1.1.1:7300". Calls wait until
// Start is called. Stop closes the listener.
func NewServer(address string, budget *inbound.Budget, control Control, health Health, options ...Option) (*Server, error) {
	handler, err := NewHandler(control, health, options...)
	if err != nil {
		return nil, err
	}
	return Listen(address, budget, handler)
}

// Listen returns a server that listens on an address and serves calls with handler. The budget
// bounds what callers may make the node hold. Start and Stop apply as for NewServer.
func Listen(address string, budget *inbound.Budget, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for operators; free %s or change control in the settings", address)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	inbound.Configure(server)
	return &Server{listener: inbound.NewListener(listener, budget, connectionShare, portLimits), http: server}, nil
}

// portLimits returns the limits of requests. The time-outs are those of the HTTP server.
func portLimits() inbound.PortLimits {
	return inbound.PortLimits{MaxHeadBytes: maxHeaderBytes}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Start serves calls until Stop is called, and then returns nil.
func (s *Server) Start() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve operators")
}

// Stop refuses new calls, waits up to stopTimeout for running calls, and closes the connections.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
	// Shutdown does not close the listener of a server that was never started.
	_ = s.listener.Close()
}

// NewHandler returns a handler that serves the control interface. go-zero routes the calls. Its
// server is not used, because it would open a listener of its own and stop only with the whole
// process; only its router and its middlewares are used.
func NewHandler(control Control, health Health, options ...Option) (http.Handler, error) {
	calls, err := routes(resources(control))
	if err != nil {
		return nil, err
	}
	server, err := rest.NewServer(restConfiguration(),
		rest.WithNotFoundHandler(http.HandlerFunc(notFound)),
		rest.WithNotAllowedHandler(http.HandlerFunc(notAllowed)))
	if err != nil {
		return nil, errors.Wrap(err, "build the control server")
	}
	limited := []rest.Middleware{limitCalls(maxConcurrentCalls), recoverCalls}
	server.AddRoutes(rest.WithMiddlewares(limited, calls...))
	server.AddRoutes(healthRoutes(health))
	for _, option := range options {
		option(server)
	}
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Wrap(err, "bind the routes of the control server")
	}
	return http.HandlerFunc(serverless.Serve), nil
}

// restConfiguration returns the configuration of go-zero's server. It sets each middleware
// explicitly.
func restConfiguration() rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:      "ridgeswitch-control",
			Mode:      service.ProMode,
			Log:       logx.LogConf{Level: "error", Stat: false},
			Telemetry: trace.Config{Disabled: true},
		},
		Middlewares: rest.MiddlewaresConf{
			// Recover handles panics outside of recoverCalls, which handles those of calls.
			Recover: true,
			// MaxConns responds without a problem; limitCalls replaces it.
			MaxConns: false,
			// Breaker and Shedding reject calls by heuristics. An operator's call has
			// priority, above all when the node is overloaded or failing.
			Breaker:  false,
			Shedding: false,
			// Timeout buffers responses, and reports a call as failed although it may
			// have taken effect. callTimeout replaces it.
			Timeout: false,
			// MaxBytes checks only declared lengths, and responds without a problem.
			// readBody limits bodies instead.
			MaxBytes: false,
			// Gunzip would let a small body exceed its limit when decompressed.
			Gunzip: false,
			// Log, Metrics, Prometheus and Trace write records for every call; the node
			// keeps a log ring instead.
			Log:        false,
			Metrics:    false,
			Prometheus: false,
			Trace:      false,
		},
	}
}
