// Package deadline bounds the time of a request by the shorter of the caller's deadline and
// the time-out of the route or destination.
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

// errPassed is the cause of a context that ends with the request's deadline.
var errPassed = errors.New("the request's deadline has passed")

// writeGrace is how long after the deadline the last bytes of a response may be written.
const writeGrace = time.Second

// Handler sets the deadline of requests, for the handlers that follow.
type Handler struct {
	fallback time.Duration
}

// New returns the handler. The fallback is the time-out of requests to a destination
// without one.
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
	// A writer that has no deadlines, as in tests, is bounded by the context
	// alone.
	_ = controller.SetWriteDeadline(time.Now().Add(limit + writeGrace))
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	next()
}

// destinationTimeout returns the time-out of requests to a destination.
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

// Passed reports whether a context has ended with the request's deadline. Any
// other end means that the caller has disconnected.
func Passed(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errPassed)
}

// Error reports that the request's deadline has passed. The request has not run,
// unless the caller of this function sets MayHaveRun.
func Error() *caller.Error {
	return caller.NewError(caller.KindDeadlineExceeded,
		"the request's time is up: send a larger %s or fewer requests at a time", caller.HeaderDeadline).WithRetryAfter(time.Second)
}
