package inbound

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"time"
)

const (
	// maxBacklogDivisor is the part of a port's connections that evicted ones may exceed them by
	// until they are closed.
	maxBacklogDivisor = 4
	// evictionWait is how long a new connection waits for evicted ones to be closed.
	evictionWait = 100 * time.Millisecond
	// stalledAfter is how long a client may leave a response unread before its connection may
	// make room for another.
	stalledAfter = 500 * time.Millisecond
	// stalledRelayAfter is how long a client may leave a relayed response unread before its
	// connection may make room at a back end for the request of another client.
	stalledRelayAfter = 2 * time.Second
)

// PortLimits bound the requests at one port. A zero time means that of the HTTP server.
type PortLimits struct {
	// MaxHeadBytes bounds the head of a request.
	MaxHeadBytes int64
	// HeaderTimeout bounds the time in which a head arrives, and IdleTimeout that between two
	// requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Listener accepts the connections of one port within the budget of the process.
type Listener struct {
	net.Listener
	budget *Budget
	// limits returns the limits of requests at present.
	limits func() PortLimits
	// maxConnections is how many connections the port may have.
	maxConnections int

	// connections contains the open connections. The mutex of the budget guards it.
	connections map[*Connection]struct{}
}

// NewListener returns a listener that takes a part of the budget's connections, such as 0.25.
func NewListener(listener net.Listener, budget *Budget, part float64, limits func() PortLimits) *Listener {
	return &Listener{
		Listener:       listener,
		budget:         budget,
		limits:         limits,
		maxConnections: max(1, int(part*float64(budget.limits.Connections))),
		connections:    map[*Connection]struct{}{},
	}
}

// Accept implements net.Listener. If the port has as many connections as it may, the new one takes
// the place of another one, or is closed if there is none to evict.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if connection := l.admit(accepted); connection != nil {
			return connection, nil
		}
		_ = accepted.Close()
	}
}

// admit returns the connection, or nil if the port has no room for it.
func (l *Listener) admit(accepted net.Conn) *Connection {
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	if !l.awaitRoom() || len(l.connections) >= l.maxConnections && !l.evictOne() {
		l.budget.stats.Refused++
		return nil
	}
	connection := &Connection{Conn: accepted, listener: l, budget: l.budget}
	connection.beginWaiting()
	l.connections[connection] = struct{}{}
	l.budget.stats.Connections++
	return connection
}

// awaitRoom waits until not too many connections are open, evicted ones included. It returns false
// if that takes too long.
func (l *Listener) awaitRoom() bool {
	full := l.maxConnections + max(1, l.maxConnections/maxBacklogDivisor)
	if len(l.connections) < full {
		return true
	}
	timer := time.NewTimer(evictionWait)
	defer timer.Stop()
	for len(l.connections) >= full {
		if !l.budget.awaitChange(timer.C) {
			return false
		}
	}
	return true
}

// evictOne evicts the connection of the port that has waited longest for a request or the rest of
// one, or else one whose client does not read a response. It returns false if there is none.
func (l *Listener) evictOne() bool {
	for element := l.budget.incomplete.Front(); element != nil; element = element.Next() {
		if candidate := element.Value.(*Connection); candidate.listener == l && !candidate.evicted {
			candidate.evict()
			return true
		}
	}
	return l.closeStalled(stalledAfter, func(*Connection) bool { return true })
}

// closeStalled closes the connection, of those that are eligible, whose client has left a response
// unread for longest, if that is longer than the given time. It returns false if there is none.
func (l *Listener) closeStalled(after time.Duration, eligible func(*Connection) bool) bool {
	var stalled *Connection
	earliest := time.Now().Add(-after).UnixNano()
	for candidate := range l.connections {
		since := candidate.writingSince.Load()
		if since > 0 && since < earliest && !candidate.evicted && eligible(candidate) {
			stalled, earliest = candidate, since
		}
	}
	if stalled == nil {
		return false
	}
	stalled.evicted = true
	l.budget.evictedHeld += stalled.held
	l.budget.stats.Evicted++
	_ = stalled.Conn.Close()
	return true
}

// remove takes a closed connection off the port. The caller holds the budget's mutex.
func (l *Listener) remove(connection *Connection) {
	delete(l.connections, connection)
	l.budget.stats.Connections--
	l.budget.announceChange()
}

// Configure sets the fields of an HTTP server that Listener and ReadBody rely on, and wraps its
// handler.
func Configure(server *http.Server) {
	server.Handler = closeWhenFull(server.Handler)
	server.ConnState = func(connection net.Conn, state http.ConnState) {
		if own, ok := connection.(*Connection); ok {
			own.SetState(state)
		}
		if state == http.StateIdle {
			// The next request may have arrived already. Without a pause, the goroutines of
			// such connections keep the processor from all others.
			runtime.Gosched()
		}
	}
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		if own, ok := connection.(*Connection); ok {
			return context.WithValue(ctx, contextKey{}, own)
		}
		return ctx
	}
}

// closeWhenFull returns a handler that announces the end of the connection with each response while
// the port is full, so that clients which send one request after the other make room for others.
func closeWhenFull(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if connection := connectionOf(request); connection != nil && connection.listener.isFull() {
			writer.Header().Set("Connection", "close")
		}
		next.ServeHTTP(writer, request)
	})
}

// isFull reports whether the port has as many connections as it may.
func (l *Listener) isFull() bool {
	l.budget.mutex.Lock()
	defer l.budget.mutex.Unlock()
	return len(l.connections) >= l.maxConnections
}

// contextKey is the key of a request's connection in its context.
type contextKey struct{}

// connectionOf returns the connection of a request, or nil if there is none or its server has no
// Listener.
func connectionOf(request *http.Request) *Connection {
	if request == nil {
		return nil
	}
	connection, _ := request.Context().Value(contextKey{}).(*Connection)
	return connection
}
