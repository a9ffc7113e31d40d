package outbound

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errSealed is returned by writes to a connection that has been given up.
var errSealed = errors.New("the connection has been sealed after a failed request")

// countedConn is a connection that counts what it is asked to write and that
// can be sealed against further writes.
type countedConn struct {
	net.Conn
	mutex  sync.Mutex
	writes uint64
	sealed bool
	// onClose releases the connection from the limit of its back end. Only its first call
	// does so.
	onClose func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// Write counts the call before any byte can leave.
func (c *countedConn) Write(data []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errSealed
	}
	return c.Conn.Write(data)
}

// beginWrite enters a write, unless the connection is sealed.
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

// seal forbids further writes, closes the connection, and returns how many
// writes have ever begun. After it returns that number is final.
func (c *countedConn) seal() uint64 {
	c.mutex.Lock()
	c.sealed = true
	writes := c.writes
	c.mutex.Unlock()
	_ = c.Close()
	return writes
}

// dialer returns the transport's dial function, which opens no more connections
// to an address than there may be.
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
	// untracked means that one of them does not count its writes.
	untracked bool
}

// usedConnection is a connection, and how many writes had begun on it when the request
// was given it.
type usedConnection struct {
	connection   *countedConn
	writesBefore uint64
}

// add records a connection. It is called before the request is written to it.
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

// seal closes the connections, and reports whether any byte of the request may have left.
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
