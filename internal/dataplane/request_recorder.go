package dataplane

import (
	"net/http"
	"strconv"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/recorder"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
)

// responseObserver observes when and how the response to one request starts. A nil
// observer does nothing.
type responseObserver struct {
	clock        func() time.Duration
	firstByteAt  time.Duration
	status       int
	errorKind    caller.Kind
	reusedTokens uint64
	attempts     int
}

// attempt records that an attempt starts.
func (w *responseObserver) attempt(number int) {
	if w != nil {
		w.attempts = number
	}
}

// responseStarted records the header of a back end's response.
func (w *responseObserver) responseStarted(status int, header http.Header) {
	if w == nil {
		return
	}
	w.firstByteAt = w.clock()
	w.status = status
	if tokens, err := strconv.ParseUint(header.Get(replica.HeaderReusedTokens), 10, 64); err == nil {
		w.reusedTokens = tokens
	}
}

// refused records an error in place of a response.
func (w *responseObserver) refused(callerError *caller.Error) {
	if w == nil {
		return
	}
	w.firstByteAt = w.clock()
	w.status = callerError.Status()
	w.errorKind = callerError.Kind
}

// requestRecorder records each request when it has ended. In the chain it follows the
// handlers that determine destination, tenant and headers.
type requestRecorder struct {
	recorder *recorder.Recorder
	clock    func() time.Duration
	started  time.Duration
}

// handle implements handler. Truncated responses end in a panic.
func (r *requestRecorder) handle(e *exchange, next func()) {
	e.observer = &responseObserver{clock: r.clock}
	defer func() { r.recorder.Record(r.describe(e)) }()
	next()
}

// describe returns the record of a request that has ended.
func (r *requestRecorder) describe(e *exchange) recording.Record {
	record := recording.Record{
		AtUS:         (e.arrived - r.started).Microseconds(),
		Host:         e.host,
		Chunks:       recording.Chunks(e.parsed.Chunks),
		OutputTokens: e.parsed.OutputTokens,
		Repeatable:   e.parsed.Idempotent,
		Streamed:     e.parsed.Streamed,
		DeadlineMS:   e.parsed.Deadline.Milliseconds(),
		Outcome:      e.outcome(),
		Problem:      string(e.observer.errorKind),
		Status:       e.observer.status,
		Attempts:     e.observer.attempts,
		ReusedTokens: e.observer.reusedTokens,
		TotalUS:      (r.clock() - e.arrived).Microseconds(),
	}
	if e.observer.status != 0 {
		record.FirstUS = (e.observer.firstByteAt - e.arrived).Microseconds()
	}
	if e.tenant != nil {
		record.Tenant = e.tenant.Name
	}
	if pool := e.destination.Pool; pool != nil {
		record.Pool = pool.Config.GetName()
		record.Model = pool.Config.GetModel()
	} else if service := e.destination.WebService; service != nil {
		record.WebService = service.Config.GetName()
	}
	return record
}

// outcome returns how an exchange has ended for its caller.
func (e *exchange) outcome() recording.Outcome {
	switch {
	case e.observer.errorKind != "":
		return recording.Refused
	case e.observer.status != 0 && !e.failed:
		// A caller may disconnect as soon as it has the last byte.
		return recording.Completed
	case e.request.Context().Err() != nil:
		return recording.Disconnected
	default:
		return recording.Truncated
	}
}
