// Package requestrecorder records each request when it has ended. In the chain it follows
// the handlers that determine the destination, the tenant and the parsed headers, so
// requests that these handlers refuse are not recorded.
package requestrecorder

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/recorder"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
)

// Handler records requests.
type Handler struct {
	recorder *recorder.Recorder
	clock    func() time.Duration
	// started is when recording began. The arrival times in records are relative to it.
	started time.Duration
}

// New returns the handler. Recording begins at the time of the call.
func New(recorder *recorder.Recorder, clock func() time.Duration) *Handler {
	return &Handler{recorder: recorder, clock: clock, started: clock()}
}

// Handle implements exchange.Handler. It records in a deferred call because truncated
// responses end in a panic.
func (h *Handler) Handle(e *exchange.Exchange, next func()) {
	e.Observer = &exchange.Observer{Clock: h.clock}
	defer func() { h.recorder.Record(h.describe(e)) }()
	next()
}

// describe returns the record of a request that has ended.
func (h *Handler) describe(e *exchange.Exchange) recording.Record {
	record := recording.Record{
		AtUS:         (e.Arrived - h.started).Microseconds(),
		Host:         e.Host,
		Chunks:       recording.Chunks(e.Parsed.Chunks),
		OutputTokens: e.Parsed.OutputTokens,
		Repeatable:   e.Parsed.Idempotent,
		Streamed:     e.Parsed.Streamed,
		DeadlineMS:   e.Parsed.Deadline.Milliseconds(),
		Outcome:      outcomeOf(e),
		Problem:      string(e.Observer.ErrorKind),
		Status:       e.Observer.Status,
		Attempts:     e.Observer.Attempts,
		ReusedTokens: e.Observer.ReusedTokens,
		TotalUS:      (h.clock() - e.Arrived).Microseconds(),
	}
	if e.Observer.Status != 0 {
		record.FirstUS = (e.Observer.FirstByteAt - e.Arrived).Microseconds()
	}
	if e.Tenant != nil {
		record.Tenant = e.Tenant.Name
	}
	if pool := e.Destination.Pool; pool != nil {
		record.Pool = pool.Config.GetName()
		record.Model = pool.Config.GetModel()
	} else if service := e.Destination.WebService; service != nil {
		record.WebService = service.Config.GetName()
	}
	return record
}

// outcomeOf returns the outcome of an exchange for its caller.
func outcomeOf(e *exchange.Exchange) recording.Outcome {
	switch {
	case e.Observer.ErrorKind != "":
		return recording.Refused
	case e.Observer.Status != 0 && !e.Failed:
		// This case precedes the check for a disconnect, because a caller may disconnect as
		// soon as it has received the last byte.
		return recording.Completed
	case e.Request.Context().Err() != nil:
		return recording.Disconnected
	default:
		return recording.Truncated
	}
}
