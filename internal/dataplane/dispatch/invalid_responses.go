package dispatch

import (
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

// invalidResponseInterval is the minimum time between two messages of invalidResponses.
const invalidResponseInterval = time.Second

// invalidResponses logs responses that violate the protocol of their back end. It may be used
// concurrently.
type invalidResponses struct {
	log *logrus.Entry

	mutex sync.Mutex
	// nextMessage is the earliest time of the next message. suppressed counts the responses
	// since the last message that were not logged.
	nextMessage time.Duration
	suppressed  int
}

// invalidResponse is what is logged of a response. It holds nothing that was generated.
type invalidResponse struct {
	address, requestID string
	attempt            int
	// lastEventID is the ID of the last event that was relayed to the caller, or "".
	lastEventID string
	relaying    bool
	cause       *outbound.InvalidResponseError
}

// add logs a response unless another one was logged within the interval.
func (l *invalidResponses) add(now time.Duration, response invalidResponse) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now < l.nextMessage {
		l.suppressed++
		return
	}
	l.log.WithFields(logrus.Fields{
		"backend":       response.address,
		"request":       response.requestID,
		"attempt":       response.attempt,
		"kind":          response.cause.Kind,
		"relaying":      response.relaying,
		"last_event_id": response.lastEventID,
		"reason":        response.cause.Reason,
		"cause_type":    causeType(response.cause.Cause),
		"suppressed":    l.suppressed,
	}).Warn("a back end sent what is no response of its protocol; check the back end")
	l.suppressed = 0
	l.nextMessage = now + invalidResponseInterval
}

// causeType returns the type of the innermost cause, or "". The text of a cause may quote the response.
func causeType(cause error) string {
	if cause == nil {
		return ""
	}
	return fmt.Sprintf("%T", errors.Cause(cause))
}

// recordInvalid counts and logs an invalid response.
func (d *Dispatcher) recordInvalid(r *pendingRequest, attempt int, cause *outbound.InvalidResponseError) {
	r.Counters.CountInvalid(string(cause.Kind))
	d.invalid.add(d.options.Clock(), invalidResponse{
		address: r.health.Address, requestID: r.RequestID, attempt: attempt,
		lastEventID: r.lastEventID, relaying: r.relaying, cause: cause,
	})
}
