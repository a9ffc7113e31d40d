package exchange

import (
	"net/http"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// unreadBodyGrace is how long a refusal waits for the rest of a body that has not been read.
// The connection can be reused only if the rest arrives in that time.
const unreadBodyGrace = 200 * time.Millisecond

// PendingBody is a body that is being read. The HTTP server notices a disconnect of the
// caller only after the body has been read completely.
type PendingBody struct {
	// Done is closed when the reading of the body has ended. After that, the other fields
	// don't change.
	Done chan struct{}
	Body []byte
	// Error is why the body could not be read, or nil.
	Error *caller.Error
}

// NewPendingBody returns a PendingBody whose reading has not ended.
func NewPendingBody() *PendingBody {
	return &PendingBody{Done: make(chan struct{})}
}

// BodyError returns why the body could not be read. It returns nil if the body was read
// without an error, is still being read, or is not being read.
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

// boundUnreadBody limits how long the response that is about to be written waits for the rest
// of the body. It does nothing if the body was read completely: the HTTP server then reads
// from the connection to notice a disconnect of the caller, and a read deadline would
// interfere with that.
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
