// Package deadline limits the duration of a request to the shorter of the caller's deadline
// and the time-out of the route. For a route without a time-out, that of the destination
// applies.
package deadline

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// errPassed is the cause of a context that ends because the request's deadline has passed.
var errPassed = errors.New("the request's deadline has passed")

// writeGrace is the time after the deadline in which the last bytes of a response may still
// be written.
const writeGrace = time.Second

// Handler sets the deadline of requests for the handlers that follow it.
type Handler struct {
	fallback time.Duration
}

// New returns the handler. fallback is the time-out of requests for which neither the route
// nor the destination has one.
func New(fallback time.Duration) *Handler {
	return &Handler{fallback: fallback}
}

// Handle implements exchange.Handler.
func (h *Handler) Handle(e *exchange.Exchange, next func()) {
	limit := e.Route.Timeout()
	if limit == 0 {
		limit = destinationTimeout(e.Destination, h.fallback)
	}
	if e.Parsed.Deadline > 0 {
		limit = min(limit, e.Parsed.Deadline)
	}
	ctx, cancel := context.WithTimeoutCause(e.Context, limit, errPassed)
	defer cancel()
	e.Context = ctx
	controller := http.NewResponseController(e.Writer)
	// The error is ignored: with a writer that does not support deadlines, as in tests,
	// only the context limits the request.
	_ = controller.SetWriteDeadline(time.Now().Add(limit + writeGrace))
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	next()
}

// destinationTimeout returns the time-out of requests to a destination, or fallback if the
// destination has none.
func destinationTimeout(destination routing.Destination, fallback time.Duration) time.Duration {
	var milliseconds uint32
	if destination.Pool != nil {
		milliseconds = destination.Pool.Config.GetRequestTimeoutMs()
	} else if destination.WebService != nil {
		milliseconds = destination.WebService.Config.GetRequestTimeoutMs()
	}
	if milliseconds == 0 {
		return fallback
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// Passed reports whether a context has ended because the request's deadline has passed. If it
// has ended for another reason, the caller has disconnected.
func Passed(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errPassed)
}

// Error returns the error for a request whose deadline has passed. It states that the request
// has not run, unless the caller of Error sets MayHaveRun.
func Error() *caller.Error {
	return caller.NewError(caller.KindDeadlineExceeded,
		"the request's time is up: send a larger %s or fewer requests at a time", caller.HeaderDeadline).WithRetryAfter(time.Second)
}
