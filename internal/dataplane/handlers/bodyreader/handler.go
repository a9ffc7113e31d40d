// Package bodyreader reads the request body completely before the request is sent to a back
// end, so that every attempt sends the same bytes and a caller that sends slowly never
// occupies a back end.
package bodyreader

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/deadline"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
)

// overloadedRetry is the time after which a request may find room whose body did not.
const overloadedRetry = time.Second

// Handler reads the body of a request.
type Handler struct {
	maxBytes int64
}

// New returns the handler. A body may have at most maxBytes, unless the configuration sets
// another limit.
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

// ReadPending reads the pending body of a request to its end. It may run in another
// goroutine than the request's.
func (h *Handler) ReadPending(e *exchange.Exchange) {
	defer close(e.Pending.Done)
	body, err := h.read(e)
	if err != nil {
		e.Pending.Error = newBodyError(e, err)
	}
	e.Pending.Body = body
}

// read reads the body within the request's deadline. It clears the connection's read deadline
// after a complete body, because from then on the server watches the connection for the
// caller's disconnect. After an incomplete body it keeps the read deadline, because the server
// tries to read the rest of the body before it writes a response.
func (h *Handler) read(e *exchange.Exchange) ([]byte, error) {
	controller := http.NewResponseController(e.Writer)
	until, bounded := e.Context.Deadline()
	if bounded {
		_ = controller.SetReadDeadline(until)
	}
	body, err := inbound.ReadBody(e.Writer, e.Request, h.limit(e))
	if bounded && err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	}
	return body, err
}

// limit returns the configured limit of a body in bytes, or the default of this node.
func (h *Handler) limit(e *exchange.Exchange) int64 {
	if limit := e.View.Configuration.GetCallerLimits().GetMaxBodyBytes(); limit > 0 {
		return int64(limit)
	}
	return h.maxBytes
}

// newBodyError returns the error for a request whose body cannot be read.
func newBodyError(e *exchange.Exchange, err error) *caller.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return caller.NewError(caller.KindBodyTooLarge, "the body is larger than %d bytes: send less", tooLarge.Limit)
	}
	if errors.Is(err, inbound.ErrOverloaded) {
		return caller.NewError(caller.KindOverloaded, "%v", err).WithRetryAfter(overloadedRetry)
	}
	// A read that fails because of the deadline does not always return a time-out error, and
	// the context may end slightly later than the read. The time is therefore compared with
	// the deadline.
	if until, bounded := e.Context.Deadline(); bounded && !time.Now().Before(until) {
		return deadline.Error()
	}
	return caller.NewError(caller.KindBadRequest, "the body cannot be read (%v): send the request again", err)
}
