// Package bodyreader reads the caller's body completely, so that every attempt sends the
// same bytes and a caller that sends slowly never occupies a back end.
package bodyreader

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/deadline"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// maxPreallocatedBytes bounds the buffer that a declared length gets in advance.
const maxPreallocatedBytes = 64 << 10

// Handler reads the body of a request.
type Handler struct {
	maxBytes int64
}

// New returns the handler. A body has at most maxBytes, unless the configuration bounds it.
func New(maxBytes int64) *Handler {
	return &Handler{maxBytes: maxBytes}
}

// Handle implements exchange.Handler.
func (h *Handler) Handle(e *exchange.Exchange, next func()) {
	if !e.HasBody() {
		next()
		return
	}
	if e.Pending == nil {
		e.Pending = exchange.NewPendingBody()
		h.ReadPending(e)
	}
	<-e.Pending.Done
	if e.Pending.Error != nil {
		e.Refuse(e.Pending.Error)
		return
	}
	e.Body, e.BodyRead = e.Pending.Body, true
	next()
}

// ReadPending reads the pending body of a request to its end. It may run beside the
// request's goroutine.
func (h *Handler) ReadPending(e *exchange.Exchange) {
	defer close(e.Pending.Done)
	body, err := h.read(e)
	if err != nil {
		e.Pending.Error = newBodyError(e, err)
	}
	e.Pending.Body = body
}

// read reads the body within the request's deadline. The read deadline is cleared after a
// complete body only: from then on the server watches the connection for the caller's
// disconnect. After an incomplete body it stays, because the server tries to read the
// rest before it writes a response.
func (h *Handler) read(e *exchange.Exchange) ([]byte, error) {
	controller := http.NewResponseController(e.Writer)
	until, bounded := e.Context.Deadline()
	if bounded {
		_ = controller.SetReadDeadline(until)
	}
	body, err := readAll(http.MaxBytesReader(e.Writer, e.Request.Body, h.limit(e)), e.Request.ContentLength)
	if bounded && err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	}
	return body, err
}

// limit returns the configured bound, or the default of this node.
func (h *Handler) limit(e *exchange.Exchange) int64 {
	if limit := e.View.Configuration.GetCallerLimits().GetMaxBodyBytes(); limit > 0 {
		return int64(limit)
	}
	return h.maxBytes
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
func newBodyError(e *exchange.Exchange, err error) *caller.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return caller.NewError(caller.KindBodyTooLarge, "the body is larger than %d bytes: send less", tooLarge.Limit)
	}
	// The error of a read that the deadline ended does not always say so, and the
	// context may end a moment later than the read.
	if until, bounded := e.Context.Deadline(); bounded && !time.Now().Before(until) {
		return deadline.Error()
	}
	return caller.NewError(caller.KindBadRequest, "the body cannot be read (%v): send the request again", err)
}
