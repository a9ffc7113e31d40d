package outbound

import (
	"bufio"
	"io"
	"math"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// directConnection is one connection of a Direct. It carries one request at a
// time.
type directConnection struct {
	address string
	net.Conn
	// limiter counts the connection until it is closed.
	limiter *connectionLimiter
	// limited bounds what reader reads of the header of a response.
	limited io.LimitedReader
	reader  *bufio.Reader
	// head is the buffer for the heads of requests, kept from one to the next.
	head []byte
	// written counts the bytes of the present request that the kernel has accepted.
	written int
	closed  atomic.Bool
	// expires is the time from which on the connection is not used again.
	expires time.Time
}

func newDirectConnection(address string, dialled net.Conn, limiter *connectionLimiter) *directConnection {
	connection := &directConnection{address: address, Conn: dialled, limiter: limiter}
	connection.limited = io.LimitedReader{R: dialled, N: math.MaxInt64}
	connection.reader = bufio.NewReader(&connection.limited)
	return connection
}

// close closes the connection and releases it from the limit. It may be called more than
// once, and concurrently.
func (c *directConnection) close() {
	if !c.closed.Swap(true) {
		_ = c.Conn.Close() //nolint:staticcheck // the embedded field tells Close from close
		c.limiter.release(c.address)
	}
}

// isIdle reports whether an idle connection is open and nothing has come on it since
// its last response.
func (c *directConnection) isIdle() bool {
	tcp, known := c.Conn.(syscall.Conn)
	if !known || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, failure := syscall.Read(int(descriptor), one[:])
		idle = errors.Is(failure, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}

// limitHeader bounds the bytes that are read until the bound is lifted.
func (c *directConnection) limitHeader() { c.limited.N = maxHeaderBytes }

// liftLimit lifts the bound, for the body.
func (c *directConnection) liftLimit() { c.limited.N = math.MaxInt64 }
