package dataplane

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// maxPreallocatedBytes bounds the buffer that a declared length gets in advance.
const maxPreallocatedBytes = 64 << 10

// unreadBodyGrace is how long a refusal waits for the rest of a body that nobody reads,
// so that the connection can be reused.
const unreadBodyGrace = 200 * time.Millisecond

// bodyReader reads the caller's body completely, so that every attempt sends the same
// bytes and a caller that sends slowly never occupies a back end.
type bodyReader struct {
	maxBytes int64
}

// handle implements handler.
func (r *bodyReader) handle(e *exchange, next func()) {
	if !e.hasBody() {
		next()
		return
	}
	if e.pending == nil {
		e.pending = newPendingBody()
		r.readPending(e)
	}
	<-e.pending.done
	if e.pending.callerError != nil {
		e.refuse(e.pending.callerError)
		return
	}
	e.body, e.bodyRead = e.pending.body, true
	next()
}

// hasBody reports whether the caller sends a body.
func (e *exchange) hasBody() bool {
	return e.request.Body != nil && e.request.Body != http.NoBody
}

// pendingBody is a body that is being read. Only after a body was read completely does
// the HTTP server notice that the caller disconnects.
type pendingBody struct {
	// done is closed when reading has ended. From then on the other fields don't change.
	done        chan struct{}
	body        []byte
	callerError *caller.Error
}

// newPendingBody returns a body of which nothing has been read.
func newPendingBody() *pendingBody {
	return &pendingBody{done: make(chan struct{})}
}

// bodyReadError returns why the body could not be read, or nil while that is not known.
func (e *exchange) bodyReadError() *caller.Error {
	if e.pending == nil {
		return nil
	}
	select {
	case <-e.pending.done:
		return e.pending.callerError
	default:
		return nil
	}
}

// readPending reads the pending body to its end.
func (r *bodyReader) readPending(e *exchange) {
	defer close(e.pending.done)
	body, err := r.read(e)
	if err != nil {
		e.pending.callerError = newBodyError(e, err)
	}
	e.pending.body = body
}

// read reads the body within the request's deadline. The read deadline is cleared after a
// complete body only: from then on the server watches the connection for the caller's
// disconnect. After an incomplete body it stays, because the server tries to read the
// rest before it writes a response.
func (r *bodyReader) read(e *exchange) ([]byte, error) {
	controller := http.NewResponseController(e.writer)
	deadline, bounded := e.ctx.Deadline()
	if bounded {
		_ = controller.SetReadDeadline(deadline)
	}
	body, err := readAll(http.MaxBytesReader(e.writer, e.request.Body, r.limit(e)), e.request.ContentLength)
	if bounded && err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	}
	return body, err
}

// boundUnreadBody keeps a response that is about to be written from waiting for the rest
// of the body. It does nothing after a complete body, since the server watches that
// connection for the caller's disconnect.
func (e *exchange) boundUnreadBody() {
	if e.bodyRead || !e.hasBody() {
		return
	}
	until := time.Now().Add(unreadBodyGrace)
	if deadline, bounded := e.ctx.Deadline(); bounded && deadline.Before(until) {
		until = deadline
	}
	_ = http.NewResponseController(e.writer).SetReadDeadline(until)
	if e.pending != nil {
		<-e.pending.done
	}
}

// limit returns the configured bound, or the default of this node.
func (r *bodyReader) limit(e *exchange) int64 {
	if limit := e.view.Configuration.GetCallerLimits().GetMaxBodyBytes(); limit > 0 {
		return int64(limit)
	}
	return r.maxBytes
}

// readAll reads to the end. The declared length, -1 if there is none, sizes the buffer,
// but only up to a bound: no memory is allocated on the word of a caller.
func readAll(reader io.Reader, declared int64) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Grow(int(min(max(declared, 0), maxPreallocatedBytes)) + bytes.MinRead)
	_, err := buffer.ReadFrom(reader)
	return buffer.Bytes(), err
}

// newBodyError is the refusal of a request whose body cannot be read.
func newBodyError(e *exchange, err error) *caller.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return caller.NewError(caller.KindBodyTooLarge, "the body is larger than %d bytes: send less", tooLarge.Limit)
	}
	// The error of a read that the deadline ended does not always say so, and the
	// context may end a moment later than the read.
	if deadline, bounded := e.ctx.Deadline(); bounded && !time.Now().Before(deadline) {
		return deadlineError()
	}
	return caller.NewError(caller.KindBadRequest, "the body cannot be read (%v): send the request again", err)
}
