package outbound

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errSealed is returned by writes to a sealed connection.
var errSealed = errors.New("the connection has been sealed after a failed request")

// countedConn is a connection that counts the calls of Write and can be sealed against
// further ones.
type countedConn struct {
	net.Conn
	mutex  sync.Mutex
	writes uint64
	sealed bool
	// onClose removes the connection from the count of its back end. Only the first call
	// has an effect.
	onClose func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// Write implements net.Conn. It counts the call before any byte can be sent.
func (c *countedConn) Write(data []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errSealed
	}
	return c.Conn.Write(data)
}

// beginWrite counts a write and returns true, or returns false if the connection is sealed.
func (c *countedConn) beginWrite() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

// writeCount returns how many writes have begun.
func (c *countedConn) writeCount() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writes
}

// seal forbids further writes, closes the connection, and returns how many writes have
// begun on it. No write begins afterwards.
func (c *countedConn) seal() uint64 {
	c.mutex.Lock()
	c.sealed = true
	writes := c.writes
	c.mutex.Unlock()
	_ = c.Close()
	return writes
}

// dialer returns the transport's dial function, which opens no more connections to an
// address than the limiter permits.
func dialer(timeout time.Duration, limiter *connectionLimiter) func(ctx context.Context, network, address string) (net.Conn, error) {
	plain := &net.Dialer{Timeout: timeout, KeepAlive: keepAlivePeriod}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := limiter.reserve(address); err != nil {
			return nil, err
		}
		connection, err := plain.DialContext(ctx, network, address)
		if err != nil {
			limiter.release(address)
			return nil, err
		}
		return &countedConn{Conn: connection, onClose: sync.OnceFunc(func() { limiter.release(address) })}, nil
	}
}

// connectionTrace records the connections that net/http gave to one request.
type connectionTrace struct {
	mutex       sync.Mutex
	connections []usedConnection
	// untracked means that a connection of the request is not a countedConn.
	untracked bool
}

// usedConnection is a connection of a request. writesBefore is how many writes had begun on
// it when the request got it.
type usedConnection struct {
	connection   *countedConn
	writesBefore uint64
}

// add records a connection. net/http calls it before it writes the request.
func (t *connectionTrace) add(info httptrace.GotConnInfo) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counted, known := info.Conn.(*countedConn)
	if !known {
		t.untracked = true
		return
	}
	t.connections = append(t.connections, usedConnection{connection: counted, writesBefore: counted.writeCount()})
}

// seal seals and closes the connections, and reports whether any byte of the request may have
// been sent.
func (t *connectionTrace) seal() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	mayHaveBeenSent := t.untracked
	for _, used := range t.connections {
		if used.connection.seal() != used.writesBefore {
			mayHaveBeenSent = true
		}
	}
	return mayHaveBeenSent
}
