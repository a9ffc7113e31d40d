package dataplane

import (
	"net/http"
	"strconv"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
)

// answerWatch notes when and how the answer of one request begins. A nil watch
// notes nothing.
type answerWatch struct {
	clock        func() time.Duration
	firstAt      time.Duration
	status       int
	problem      caller.Kind
	reusedTokens uint64
	attempts     int
}

// attempt notes that an attempt starts.
func (w *answerWatch) attempt(number int) {
	if w != nil {
		w.attempts = number
	}
}

// began notes the header of a back end's answer.
func (w *answerWatch) began(status int, header http.Header) {
	if w == nil {
		return
	}
	w.firstAt = w.clock()
	w.status = status
	if tokens, err := strconv.ParseUint(header.Get(replica.HeaderReusedTokens), 10, 64); err == nil {
		w.reusedTokens = tokens
	}
}

// refused notes an error in place of an answer.
func (w *answerWatch) refused(problem *caller.Problem) {
	if w == nil {
		return
	}
	w.firstAt = w.clock()
	w.status = problem.Status()
	w.problem = problem.Kind
}

// requestRecorder hands a record of each request on when it has ended. It
// stands where the destination, the tenant and the headers are known.
type requestRecorder struct {
	recorder recorder
	clock    func() time.Duration
	started  time.Duration
}

// handle implements handler. Cut answers end in a panic.
func (r *requestRecorder) handle(e *exchange, next func()) {
	e.watch = &answerWatch{clock: r.clock}
	defer func() { r.recorder.record(r.describe(e)) }()
	next()
}

// describe returns the record of a request that has ended.
func (r *requestRecorder) describe(e *exchange) recording.Record {
	record := recording.Record{
		AtUS:         (e.arrived - r.started).Microseconds(),
		Host:         e.host,
		Parts:        recording.Parts(e.described.Parts),
		OutputTokens: e.described.OutputTokens,
		Repeatable:   e.described.Repeatable,
		Streamed:     e.described.Streamed,
		DeadlineMS:   e.described.Deadline.Milliseconds(),
		Outcome:      e.outcome(),
		Problem:      string(e.watch.problem),
		Status:       e.watch.status,
		Attempts:     e.watch.attempts,
		ReusedTokens: e.watch.reusedTokens,
		TotalUS:      (r.clock() - e.arrived).Microseconds(),
	}
	if e.watch.status != 0 {
		record.FirstUS = (e.watch.firstAt - e.arrived).Microseconds()
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

// outcome tells how an exchange has ended for its caller.
func (e *exchange) outcome() recording.Outcome {
	switch {
	case e.watch.problem != "":
		return recording.Refused
	case e.watch.status != 0 && !e.failed:
		// A caller may hang up as soon as it has the last byte.
		return recording.Answered
	case e.request.Context().Err() != nil:
		return recording.Left
	default:
		return recording.Cut
	}
}
