package inbound

import (
	"bytes"
	"container/list"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// fieldBytes is charged for each line of a head, beside the line's own bytes: what the
	// parsed field takes, and its copy for a back end.
	fieldBytes = 512
	// headAllowance is how much the bytes that are read for a head may exceed its limit. They
	// contain the request line, and up to a buffer of what follows the head.
	headAllowance = 8 << 10
	// writePiece is the most that is written at a time, and stallTimeout how long a client may
	// take for it before the connection is closed.
	writePiece   = 64 << 10
	stallTimeout = 30 * time.Second
	// refreshStall is how old the deadline of a write may be that is not set again.
	refreshStall = time.Second
	// lingerTime and lingerBytes bound what is read after the refusal of a head, so that the
	// client can read the response: closing at once would reset the connection.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10
	// watchBytes is the size of the reads by which the HTTP server watches for the end of a
	// connection, in a goroutine of its own. Other reads may have that size as well.
	watchBytes = 1
)

// phase is what a connection does.
type phase int

const (
	// phaseWaiting means that nothing of the next request has been read.
	phaseWaiting phase = iota
	// phaseHead means that a part of the request's head has been read.
	phaseHead
	// phaseActive means that the head is complete.
	phaseActive
	// phaseClosed means that the connection was closed.
	phaseClosed
)

// Connection is a connection of a client. The HTTP server uses it as a net.Conn and reports its
// states to SetState.
type Connection struct {
	net.Conn
	listener *Listener
	budget   *Budget

	// The mutex of the budget guards the following fields.
	phase phase
	// position is the connection's place in Budget.incomplete, or nil.
	position *list.Element
	// since is when the connection began to wait for its request, or to read it.
	since time.Time
	// held is what the request is charged for, in bytes, and response the part of it that is
	// charged for the response of a back end.
	held, response int64
	// evicted means that the connection has to give back what it holds, and is closed.
	evicted bool
	// served counts the requests whose head was complete.
	served int

	// writingSince is the time of the write that is under way, in nanoseconds since 1970, or 0.
	writingSince atomic.Int64
	// relaying means that the response is relayed as it arrives from the back end.
	relaying atomic.Bool
	// inBulk means that the goroutine that reads a body has the right to process a large one.
	inBulk atomic.Bool
	// The following fields are used only by the goroutine that reads or writes.
	headBytes       int64
	stallSet        time.Time
	serversDeadline time.Time
}

// refusal is a response to a request whose head cannot be read, and the error of the read.
type refusal struct {
	response string
	reason   string
}

// Error implements error.
func (r *refusal) Error() string { return r.reason }

// Timeout implements net.Error. The HTTP server answers other errors itself.
func (*refusal) Timeout() bool { return true }

// Temporary implements net.Error.
func (*refusal) Temporary() bool { return false }

var (
	errHeadTooLarge = &refusal{
		response: "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		reason:   "the head of the request is above the limit",
	}
	errHeadTimeout = &refusal{
		response: "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		reason:   "the head of the request did not arrive in time",
	}
	errHeadEvicted = &refusal{
		response: "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
		reason:   "the request was evicted before its head was complete",
	}
)

// Read implements net.Conn. While the head of a request arrives, it charges the budget and bounds
// the head.
func (c *Connection) Read(target []byte) (int, error) {
	count, err := c.read(target)
	if refused := c.account(target[:count], err); refused != nil {
		c.refuse(refused)
		return 0, refused
	}
	if err != nil && c.isEvicted() {
		return count, os.ErrDeadlineExceeded
	}
	return count, err
}

// read reads from the client. While it waits, others may process large bodies. A read that may be
// the HTTP server's watch does not take the right again, since its goroutine would keep it; what a
// body's reader then processes without the right is at most a buffer of the server.
func (c *Connection) read(target []byte) (int, error) {
	if c.leaveBulk() && len(target) > watchBytes {
		defer c.enterBulk()
	}
	return c.Conn.Read(target)
}

// account charges for bytes that were read, if they belong to a head.
func (c *Connection) account(content []byte, readErr error) *refusal {
	if !c.beginHead(len(content) > 0) {
		return nil
	}
	if readErr != nil && len(content) == 0 {
		return c.incompleteHead(readErr)
	}
	c.headBytes += int64(len(content))
	if c.headBytes > c.listener.limits().MaxHeadBytes+headAllowance {
		return errHeadTooLarge
	}
	fields := int64(bytes.Count(content, []byte{'\n'}))
	if err := c.budget.charge(c, int64(len(content))+fields*fieldBytes); err != nil {
		return errHeadEvicted
	}
	return nil
}

// incompleteHead returns the refusal of a head that ends with an error, or nil if the client has
// closed the connection.
func (c *Connection) incompleteHead(readErr error) *refusal {
	switch {
	case c.isEvicted():
		return errHeadEvicted
	case errors.Is(readErr, os.ErrDeadlineExceeded):
		return errHeadTimeout
	default:
		return nil
	}
}

// beginHead reports whether the head of a request is being read. The first bytes begin it.
func (c *Connection) beginHead(arrived bool) bool {
	c.budget.mutex.Lock()
	defer c.budget.mutex.Unlock()
	if c.phase == phaseWaiting && arrived {
		c.phase, c.headBytes = phaseHead, 0
		c.since = time.Now()
		if c.position != nil {
			c.budget.incomplete.MoveToBack(c.position)
		}
		c.limitFirstHead()
	}
	return c.phase == phaseHead
}

// limitFirstHead sets the deadline for the first head of a connection, which the HTTP server
// sets when the connection is opened.
func (c *Connection) limitFirstHead() {
	if timeout := c.listener.limits().HeaderTimeout; c.served == 0 && timeout > 0 && !c.evicted {
		_ = c.Conn.SetReadDeadline(c.since.Add(timeout))
	}
}

// refuse gives back what the head holds, and writes a response. It then reads for a short time what
// the client still sends.
func (c *Connection) refuse(refused *refusal) {
	c.budget.mutex.Lock()
	c.budget.giveBackAll(c)
	c.budget.mutex.Unlock()
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.Conn, refused.response); err != nil {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

func (c *Connection) isEvicted() bool {
	c.budget.mutex.Lock()
	defer c.budget.mutex.Unlock()
	return c.evicted
}

// SetState follows the states that the HTTP server reports for the connection.
func (c *Connection) SetState(state http.ConnState) {
	c.budget.mutex.Lock()
	defer c.budget.mutex.Unlock()
	switch state {
	case http.StateActive:
		c.phase = phaseActive
		c.served++
		c.leaveIncomplete()
		c.withdrawEviction()
	case http.StateIdle:
		c.relaying.Store(false)
		c.budget.giveBackAll(c)
		c.beginWaiting()
	default:
	}
}

// withdrawEviction lets a request go on whose head was complete when it was evicted, since it can
// no longer be refused without a response.
func (c *Connection) withdrawEviction() {
	if !c.evicted {
		return
	}
	c.evicted = false
	c.budget.evictedHeld -= c.held
	_ = c.Conn.SetReadDeadline(time.Time{})
}

// beginWaiting marks the connection as waiting for a request.
func (c *Connection) beginWaiting() {
	c.phase, c.since = phaseWaiting, time.Now()
	if c.position == nil {
		c.position = c.budget.incomplete.PushBack(c)
	}
}

// beginBody marks the request as incomplete while its body is read.
func (c *Connection) beginBody() {
	c.budget.mutex.Lock()
	defer c.budget.mutex.Unlock()
	if c.phase == phaseActive && c.position == nil {
		c.position = c.budget.incomplete.PushBack(c)
	}
}

// endBody marks the request as complete if its body was read, and otherwise gives back what it
// holds. It returns ErrOverloaded if the request was evicted meanwhile.
func (c *Connection) endBody(readErr error) error {
	c.budget.mutex.Lock()
	defer c.budget.mutex.Unlock()
	c.leaveIncomplete()
	if c.evicted {
		readErr = ErrOverloaded
	}
	if readErr != nil {
		c.budget.giveBackAll(c)
	}
	return readErr
}

func (c *Connection) leaveIncomplete() {
	if c.position != nil {
		c.budget.incomplete.Remove(c.position)
		c.position = nil
	}
}

// evict has the connection give back what it holds. One that waits for a request is closed; else
// its reads fail, and the request is refused. The caller holds the budget's mutex.
func (c *Connection) evict() {
	c.evicted = true
	c.budget.evictedHeld += c.held
	c.budget.stats.Evicted++
	c.leaveIncomplete()
	if c.phase == phaseWaiting {
		_ = c.Conn.Close()
	} else {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.budget.announceChange()
}

// SetReadDeadline implements net.Conn. It shortens the deadlines of the HTTP server for the next
// request and for its head to the listener's limits. The deadline of an evicted connection stays
// in the past.
func (c *Connection) SetReadDeadline(until time.Time) error {
	limits := c.listener.limits()
	c.budget.mutex.Lock()
	defer c.budget.mutex.Unlock()
	if c.evicted {
		return nil
	}
	if !until.IsZero() {
		switch c.phase {
		case phaseWaiting:
			until = earlier(until, limits.IdleTimeout)
		case phaseHead:
			until = earlier(until, limits.HeaderTimeout)
		default:
		}
	}
	return c.Conn.SetReadDeadline(until)
}

// earlier returns a time, or the end of a limit from now on if that is earlier.
func earlier(until time.Time, limit time.Duration) time.Time {
	if limit <= 0 {
		return until
	}
	if end := time.Now().Add(limit); end.Before(until) {
		return end
	}
	return until
}

// SetWriteDeadline implements net.Conn. The HTTP server takes its deadline back after each request,
// also if it has set none: then the deadline for a stalled client stays.
func (c *Connection) SetWriteDeadline(until time.Time) error {
	if until.IsZero() && c.serversDeadline.IsZero() {
		return nil
	}
	c.serversDeadline, c.stallSet = until, time.Time{}
	return c.Conn.SetWriteDeadline(until)
}

// Write implements net.Conn. It fails if the client takes less than writePiece in stallTimeout.
func (c *Connection) Write(content []byte) (int, error) {
	written := 0
	for {
		piece := content[written:min(len(content), written+writePiece)]
		count, err := c.writePiece(piece)
		written += count
		if err != nil || written == len(content) {
			return written, err
		}
	}
}

func (c *Connection) writePiece(piece []byte) (int, error) {
	now := time.Now()
	if now.Sub(c.stallSet) > refreshStall {
		c.stallSet = now
		until := now.Add(stallTimeout)
		if !c.serversDeadline.IsZero() && c.serversDeadline.Before(until) {
			until = c.serversDeadline
		}
		if err := c.Conn.SetWriteDeadline(until); err != nil {
			return 0, err
		}
	}
	c.writingSince.Store(now.UnixNano())
	defer c.writingSince.Store(0)
	return c.Conn.Write(piece)
}

// Close implements net.Conn.
func (c *Connection) Close() error {
	c.budget.mutex.Lock()
	if c.phase != phaseClosed {
		c.phase = phaseClosed
		c.leaveIncomplete()
		c.budget.giveBackAll(c)
		c.listener.remove(c)
	}
	c.budget.mutex.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the half of the connection that the client reads, so that the HTTP server can
// end a connection on which the client still sends.
func (c *Connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
