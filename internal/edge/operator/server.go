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

	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

const (
	// maxBodyBytes bounds the body of a call: the largest configuration, and 64 KiB for
	// the order header.
	maxBodyBytes = dynamic.MaxDocumentBytes + 64<<10
	// maxConcurrentCalls bounds the calls that run at once; a call beyond it is
	// refused with 503.
	maxConcurrentCalls = 256
	// callTimeout bounds the wait for a response of control. An order that has
	// none by then is pending.
	callTimeout = 10 * time.Second
	// headerTimeout bounds the wait for the head of a request.
	headerTimeout = 5 * time.Second
	// readTimeout bounds the wait for a complete request.
	readTimeout = 30 * time.Second
	// writeTimeout bounds a complete call, including the response.
	writeTimeout = readTimeout + callTimeout + 5*time.Second
	// idleTimeout closes connections that no call comes on.
	idleTimeout = 2 * time.Minute
	// stopTimeout bounds the wait for running calls when the server stops.
	stopTimeout = 5 * time.Second
)

// Server serves the control interface of one node.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// NewServer listens on an address, such as "127.1.1.1:7300". Calls wait until
// Start; Stop frees the address.
func NewServer(address string, control Control, health Health, options ...Option) (*Server, error) {
	handler, err := NewHandler(control, health, options...)
	if err != nil {
		return nil, err
	}
	return Listen(address, handler)
}

// Listen is NewServer for calls that another handler serves.
func Listen(address string, handler http.Handler) (*Server, error) {
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
	}
	return &Server{listener: listener, http: server}, nil
}

// Address is the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Start serves until Stop. It returns nil after Stop.
func (s *Server) Start() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve operators")
}

// Stop refuses new calls and waits a short time for those that run.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
	// A server that never started does not know its listener.
	_ = s.listener.Close()
}

// NewHandler serves the control interface without a listener. It lets go-zero
// route the calls. Its server would listen by itself and stop only with the whole
// process, so only its routing and its chain of middlewares are taken.
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

// restConfiguration sets each of go-zero's middlewares on purpose.
func restConfiguration() rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:      "ridgeswitch-control",
			Mode:      service.ProMode,
			Log:       logx.LogConf{Level: "error", Stat: false},
			Telemetry: trace.Config{Disabled: true},
		},
		Middlewares: rest.MiddlewaresConf{
			// Recover is the last resort; recoverCalls comes first.
			Recover: true,
			// MaxConns responds without a problem; limitCalls stands in its place.
			MaxConns: false,
			// Breaker and Shedding refuse calls by guesses; an operator's call
			// has priority, above all when the node is busy or failing.
			Breaker:  false,
			Shedding: false,
			// Timeout buffers responses, and reports a call as failed that may
			// have taken effect. Calls end by callTimeout instead.
			Timeout: false,
			// MaxBytes looks at declared lengths alone, and responds without a
			// problem. Bodies are bounded where they are read.
			MaxBytes: false,
			// Gunzip would let a small body grow beyond its bound.
			Gunzip: false,
			// Log, Metrics, Prometheus and Trace write for every call; the
			// node keeps a log ring instead.
			Log:        false,
			Metrics:    false,
			Prometheus: false,
			Trace:      false,
		},
	}
}
