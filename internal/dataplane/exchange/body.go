package exchange

import (
	"net/http"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// unreadBodyGrace is how long a refusal waits for the rest of a body that nobody reads,
// so that the connection can be reused.
const unreadBodyGrace = 200 * time.Millisecond

// PendingBody is a body that is being read. Only after a body was read completely does
// the HTTP server notice that the caller disconnects.
type PendingBody struct {
	// Done is closed when reading has ended. From then on the other fields don't change.
	Done chan struct{}
	Body []byte
	// Error is why the body could not be read, or nil.
	Error *caller.Error
}

// NewPendingBody returns a body of which nothing has been read.
func NewPendingBody() *PendingBody {
	return &PendingBody{Done: make(chan struct{})}
}

// BodyError returns why the body could not be read, or nil while that is not known.
func (e *Exchange) BodyError() *caller.Error {
	if e.Pending == nil {
		return nil
	}
	select {
	case <-e.Pending.Done:
		return e.Pending.Error
	default:
		return nil
	}
}

// HasBody reports whether the caller sends a body.
func (e *Exchange) HasBody() bool {
	return e.Request.Body != nil && e.Request.Body != http.NoBody
}

// boundUnreadBody keeps a response that is about to be written from waiting for the rest
// of the body. It does nothing after a complete body, since the server watches that
// connection for the caller's disconnect.
func (e *Exchange) boundUnreadBody() {
	if e.BodyRead || !e.HasBody() {
		return
	}
	until := time.Now().Add(unreadBodyGrace)
	if deadline, bounded := e.Context.Deadline(); bounded && deadline.Before(until) {
		until = deadline
	}
	_ = http.NewResponseController(e.Writer).SetReadDeadline(until)
	if e.Pending != nil {
		<-e.Pending.Done
	}
}
