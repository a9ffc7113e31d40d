// Package listener runs the HTTP server on which a node serves callers. It is based on
// go-zero's REST server.
//
// A Listener owns the bound address and the server. Request limits, time-outs and refusals
// are left to the handler: go-zero's own middleware and limits are disabled. Serve is called
// once; Shutdown, Close and Address may be called concurrently with it.
package listener

import (
	"context"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/core/trace"
	"github.com/zeromicro/go-zero/rest"
)

const (
	// headerTimeout is the maximum time that a caller may take to send a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle connection of a caller is closed.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is the maximum size of a request's header. It is large because the
	// header contains the names of the prompt's chunks.
	maxHeaderBytes = 1 << 20
	// forcedQuitGrace is added to the drain time-out for the time after which go-zero
	// terminates a process that has not ended by itself.
	forcedQuitGrace = 10 * time.Second
	// logLevel suppresses the line that go-zero logs for each request.
	logLevel = "severe"
)

// Options configure a Listener.
type Options struct {
	// Address is the host and port to listen on.
	Address string
	// DrainTimeout is the maximum duration of a graceful shutdown.
	DrainTimeout time.Duration
	// Log receives the messages of the HTTP server.
	Log *logrus.Entry
}

// Listener serves HTTP on one address.
type Listener struct {
	rest *rest.Server
	log  *logrus.Entry
	// listening is closed when the address is bound.
	listening chan struct{}
	// ended receives the error with which the server ended, or nil.
	ended chan error

	mutex   sync.Mutex
	server  *http.Server
	address net.Addr
	started bool
	// stopped is set by Shutdown and Close. A server that is configured later is closed at
	// once.
	stopped bool
}

// New returns a Listener that passes all requests to a handler. The address is bound only by
// Serve. New returns an error if the address is not host:port.
func New(options Options, handler http.Handler) (*Listener, error) {
	host, portText, err := net.SplitHostPort(options.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "the traffic address %q is not host:port", options.Address)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, errors.Wrapf(err, "the traffic address %q has no numeric port", options.Address)
	}
	server, err := rest.NewServer(restConfiguration(options, host, int(port)), rest.WithRouter(catchAllRouter{handler}))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Listener{
		rest:      server,
		log:       options.Log,
		listening: make(chan struct{}),
		ended:     make(chan error, 1),
	}, nil
}

// restConfiguration returns go-zero's settings. Timeout, MaxBytes, MaxConns, CpuThreshold and
// all middlewares are disabled by their zero values.
func restConfiguration(options Options, host string, port int) rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:      "traffic",
			Log:       logx.LogConf{Level: logLevel, Mode: "console", Encoding: "plain", Stat: false},
			Mode:      service.ProMode,
			Telemetry: trace.Config{Disabled: true},
			Shutdown: proc.ShutdownConf{
				WrapUpTime: options.DrainTimeout,
				WaitTime:   options.DrainTimeout + forcedQuitGrace,
			},
		},
		Host: host,
		Port: port,
	}
}

// Serve binds the address and serves until Shutdown or Close. It returns nil after either of
// them, and an error if it cannot serve.
//
// go-zero's server runs in a goroutine of its own, because go-zero's call returns only after
// the shutdown of the whole process. If the Listener is stopped before that, the goroutine
// remains until the process ends.
func (l *Listener) Serve() error {
	l.mutex.Lock()
	if l.started {
		l.mutex.Unlock()
		return errors.New("the traffic listener was already started: create a new one")
	}
	l.started = true
	stopped := l.stopped
	l.mutex.Unlock()
	if stopped {
		return nil
	}
	go l.run()
	return <-l.ended
}

// run runs go-zero's server, which panics when it cannot listen.
func (l *Listener) run() {
	defer func() {
		if cause := recover(); cause != nil {
			l.end(errors.Errorf("the traffic listener failed: %v", cause))
		}
	}()
	l.rest.StartWithOpts(l.configure)
	l.end(nil)
}

// Listening returns a channel that is closed when the address is bound.
func (l *Listener) Listening() <-chan struct{} { return l.listening }

// configure sets the options of the HTTP server that go-zero does not set. go-zero calls it
// before it starts the server.
func (l *Listener) configure(server *http.Server) {
	server.ReadHeaderTimeout = headerTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeaderBytes
	server.ErrorLog = stdlog.New(logWriter{entry: l.log}, "", 0)
	server.BaseContext = func(bound net.Listener) context.Context {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.address = bound.Addr()
		close(l.listening)
		return context.Background()
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.server = server
	if l.stopped {
		_ = server.Close()
	}
}

// end reports the error with which the server ended, or nil, to Serve. It does nothing while
// an earlier report has not been received.
func (l *Listener) end(err error) {
	select {
	case l.ended <- err:
	default:
	}
}

// Shutdown stops accepting connections and waits for running requests. It returns an error if
// ctx ends before all of them have finished.
func (l *Listener) Shutdown(ctx context.Context) error {
	server := l.stop()
	if server == nil {
		l.end(nil)
		return nil
	}
	err := server.Shutdown(ctx)
	if err == nil {
		l.end(nil)
	}
	return errors.Wrap(err, "the graceful shutdown ended while requests were still running")
}

// Close stops the server and closes all connections without waiting for running requests.
func (l *Listener) Close() {
	if server := l.stop(); server != nil {
		_ = server.Close()
	}
	l.end(nil)
}

// stop marks the listener as stopped, and returns the HTTP server, or nil if it is not
// configured yet.
func (l *Listener) stop() *http.Server {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stopped = true
	return l.server
}

// Address returns the bound address, or "" before it is bound.
func (l *Listener) Address() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.address == nil {
		return ""
	}
	return l.address.String()
}

// logWriter writes the messages of the HTTP server to the log.
type logWriter struct {
	entry *logrus.Entry
}

// Write implements io.Writer.
func (w logWriter) Write(message []byte) (int, error) {
	w.entry.Warn(fmt.Sprintf("traffic listener: %s", message))
	return len(message), nil
}
