// Package listener runs the HTTP server on which a node serves callers, on top of
// go-zero's.
//
// A Listener owns the bound address and the server. Limits, time-outs and refusals
// are the handler's alone: all that go-zero would add by itself is switched off.
// Serve is called once; Shutdown, Close and Address may be called concurrently
// with it.
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
	// headerTimeout bounds the time in which a caller sends its header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes a caller's connection that carries nothing.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a caller's header, which carries the names of the prompt's
	// chunks.
	maxHeaderBytes = 1 << 20
	// forcedQuitGrace is how long after the drain time go-zero ends a process
	// that has not ended itself.
	forcedQuitGrace = 10 * time.Second
	// logLevel keeps go-zero's line for each request out of the logs.
	logLevel = "severe"
)

// Options configure a Listener.
type Options struct {
	// Address is the host and port to listen on.
	Address string
	// DrainTimeout is the longest graceful shutdown.
	DrainTimeout time.Duration
	// Log gets the messages of the HTTP server.
	Log *logrus.Entry
}

// Listener serves HTTP on one address.
type Listener struct {
	rest *rest.Server
	log  *logrus.Entry
	// listening is closed when the address is bound.
	listening chan struct{}
	// ended gets the error with which the server ended.
	ended chan error

	mutex   sync.Mutex
	server  *http.Server
	address net.Addr
	started bool
	// stopped reports that the server must end as soon as there is one.
	stopped bool
}

// New sets up the server of a handler. Nothing is bound before Serve. An address
// that is not host:port is an error.
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

// restConfiguration returns go-zero's settings. The zero values of Timeout,
// MaxBytes, MaxConns and CpuThreshold, and of every middleware, switch these
// off.
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

// Serve binds the address and serves until Shutdown or Close. It returns nil after
// these, and otherwise why it could not serve.
//
// go-zero's own call returns only after its process-wide shutdown, so it runs
// in a goroutine of its own, which a server that is stopped earlier leaves
// behind until the process ends.
func (l *Listener) Serve() error {
	l.mutex.Lock()
	if l.started {
		l.mutex.Unlock()
		return errors.New("the traffic listener was started before: make a new one")
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

// configure sets what go-zero leaves to the HTTP server.
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

// end reports how the server ended. Only the first call counts.
func (l *Listener) end(err error) {
	select {
	case l.ended <- err:
	default:
	}
}

// Shutdown accepts no new connection and waits for running requests until ctx ends,
// which is an error.
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
	return errors.Wrap(err, "requests are still running")
}

// Close ends every connection at once.
func (l *Listener) Close() {
	if server := l.stop(); server != nil {
		_ = server.Close()
	}
	l.end(nil)
}

// stop marks the listener as stopped, and returns the HTTP server if there is
// one already.
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
