package dataplane

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// errDeadline is the cause of a context that ends with the request's deadline.
var errDeadline = errors.New("the request's deadline has passed")

// writeGrace is how long after the deadline the last bytes of a response may be written.
const writeGrace = time.Second

// deadlineSetter applies the shorter of the caller's deadline and the time-out of the
// route or destination to the handlers that follow.
type deadlineSetter struct {
	fallback time.Duration
}

// handle implements handler.
func (s *deadlineSetter) handle(e *exchange, next func()) {
	limit := e.route.Timeout()
	if limit == 0 {
		limit = destinationTimeout(e.destination, s.fallback)
	}
	if e.parsed.Deadline > 0 {
		limit = min(limit, e.parsed.Deadline)
	}
	ctx, cancel := context.WithTimeoutCause(e.ctx, limit, errDeadline)
	defer cancel()
	e.ctx = ctx
	controller := http.NewResponseController(e.writer)
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

// deadlinePassed reports whether a context has ended with the request's deadline. Any
// other end means that the caller has disconnected.
func deadlinePassed(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errDeadline)
}

// deadlineError reports that the request's deadline has passed. The request has not run,
// unless the caller of this function sets MayHaveRun.
func deadlineError() *caller.Error {
	return caller.NewError(caller.KindDeadlineExceeded,
		"the request's time is up: send a larger %s or fewer requests at a time", caller.HeaderDeadline).WithRetryAfter(time.Second)
}

// asCallerError returns the *caller.Error that an error wraps, or an internal one.
func asCallerError(err error) *caller.Error {
	var found *caller.Error
	if errors.As(err, &found) {
		return found
	}
	return caller.NewError(caller.KindInternal, "the node failed: %v", err)
}
