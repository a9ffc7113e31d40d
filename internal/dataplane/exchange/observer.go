package exchange

import (
	"net/http"
	"strconv"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
)

// Observer records when and how the response to one request starts. The methods of a nil
// Observer do nothing.
type Observer struct {
	// Clock is the node's clock.
	Clock func() time.Duration
	// FirstByteAt is when the response or error started, and Status is its HTTP status; both
	// are 0 before.
	FirstByteAt time.Duration
	Status      int
	// ErrorKind is empty unless the request was refused.
	ErrorKind caller.Kind
	// ReusedTokens is the number of tokens of the prompt that the replica had cached,
	// according to its response.
	ReusedTokens uint64
	// Attempts is the number of the last attempt.
	Attempts int
}

// AttemptStarted records that an attempt starts.
func (o *Observer) AttemptStarted(number int) {
	if o != nil {
		o.Attempts = number
	}
}

// ResponseStarted records the header of a back end's response.
func (o *Observer) ResponseStarted(status int, header http.Header) {
	if o == nil {
		return
	}
	o.FirstByteAt = o.Clock()
	o.Status = status
	if tokens, err := strconv.ParseUint(header.Get(replica.HeaderReusedTokens), 10, 64); err == nil {
		o.ReusedTokens = tokens
	}
}

// refused records an error in place of a response.
func (o *Observer) refused(callerError *caller.Error) {
	if o == nil {
		return
	}
	o.FirstByteAt = o.Clock()
	o.Status = callerError.Status()
	o.ErrorKind = callerError.Kind
}
