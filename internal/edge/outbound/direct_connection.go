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

// directConnection is a connection of a Direct. It serves one request at a time.
type directConnection struct {
	address string
	net.Conn
	// limiter counts the connection until close.
	limiter *connectionLimiter
	// limited bounds the bytes that reader reads while a response's header is expected.
	limited io.LimitedReader
	reader  *bufio.Reader
	// head is the buffer for the heads of requests. It is reused for every request.
	head []byte
	// written counts the bytes of the current request that the kernel has accepted.
	written int
	closed  atomic.Bool
	// expires is the time from which the idle connection is not reused.
	expires time.Time
}

func newDirectConnection(address string, dialled net.Conn, limiter *connectionLimiter) *directConnection {
	connection := &directConnection{address: address, Conn: dialled, limiter: limiter}
	connection.limited = io.LimitedReader{R: dialled, N: math.MaxInt64}
	connection.reader = bufio.NewReader(&connection.limited)
	return connection
}

// close closes the connection and removes it from the limiter's count. It may be called
// repeatedly and concurrently.
func (c *directConnection) close() {
	if !c.closed.Swap(true) {
		_ = c.Conn.Close() //nolint:staticcheck // the embedded field tells Close from close
		c.limiter.release(c.address)
	}
}

// isIdle reports whether an idle connection is open and has received nothing since its last
// response.
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

// limitHeader limits the bytes that are read from the network until liftLimit.
func (c *directConnection) limitHeader() { c.limited.N = maxHeaderBytes }

// liftLimit removes the limit, so that the body can be read.
func (c *directConnection) liftLimit() { c.limited.N = math.MaxInt64 }
