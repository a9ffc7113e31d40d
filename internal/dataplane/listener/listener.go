// Package listener runs the HTTP server on which a node serves callers.
//
// A Listener owns the bound address and the server. What callers may make the node hold is bounded
// by package inbound; the other limits, time-outs and refusals are left to the handler. Serve is
// called once; Shutdown, Close and Address may be called concurrently with it.
package listener

import (
	"context"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
)

const (
	// headerTimeout is the maximum time that a caller may take to send a request's header,
	// unless the configuration sets a shorter one.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle connection of a caller is closed, unless the
	// configuration sets a shorter one.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is the maximum size of a request's header, unless the configuration sets a
	// smaller one. It is large because the header contains the names of the prompt's chunks.
	maxHeaderBytes = 1 << 20
	// connectionShare is the part of the node's connections that callers may open.
	connectionShare = 0.75
)

// Options configure a Listener.
type Options struct {
	// Address is the host and port to listen on.
	Address string
	// Budget bounds what callers may make the node hold.
	Budget *inbound.Budget
	// Limits returns the configured limits at present; zero values mean the defaults.
	Limits func() inbound.PortLimits
	// Log receives the messages of the HTTP server.
	Log *logrus.Entry
}

// Listener serves HTTP on one address.
type Listener struct {
	options Options
	server  *http.Server
	// listening is closed when the address is bound.
	listening chan struct{}

	mutex   sync.Mutex
	address net.Addr
	started bool
}

// New returns a Listener that passes all requests to a handler. The address is bound only by
// Serve. New returns an error if the address is not host:port.
func New(options Options, handler http.Handler) (*Listener, error) {
	if _, err := net.ResolveTCPAddr("tcp", options.Address); err != nil {
		return nil, errors.Wrapf(err, "the traffic address %q is not host:port", options.Address)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(logWriter{entry: options.Log}, "", 0),
	}
	inbound.Configure(server)
	return &Listener{options: options, server: server, listening: make(chan struct{})}, nil
}

// Serve binds the address and serves until Shutdown or Close. It returns nil after either of
// them, and an error if it cannot serve.
func (l *Listener) Serve() error {
	bound, err := l.bind()
	if err != nil {
		return err
	}
	err = l.server.Serve(inbound.NewListener(bound, l.options.Budget, connectionShare, l.limits))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "the traffic listener failed")
}

// bind binds the address.
func (l *Listener) bind() (net.Listener, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.started {
		return nil, errors.New("the traffic listener was already started: create a new one")
	}
	l.started = true
	bound, err := net.Listen("tcp", l.options.Address)
	if err != nil {
		return nil, errors.Wrap(err, "the traffic listener failed")
	}
	l.address = bound.Addr()
	close(l.listening)
	return bound, nil
}

// limits returns the configured limits, with the defaults for those that are not configured.
func (l *Listener) limits() inbound.PortLimits {
	limits := l.options.Limits()
	if limits.MaxHeadBytes <= 0 {
		limits.MaxHeadBytes = maxHeaderBytes
	}
	return limits
}

// Listening returns a channel that is closed when the address is bound.
func (l *Listener) Listening() <-chan struct{} { return l.listening }

// Shutdown stops accepting connections and waits for running requests. It returns an error if
// ctx ends before all of them have finished.
func (l *Listener) Shutdown(ctx context.Context) error {
	return errors.Wrap(l.server.Shutdown(ctx), "the graceful shutdown ended while requests were still running")
}

// Close stops the server and closes all connections without waiting for running requests.
func (l *Listener) Close() { _ = l.server.Close() }

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
