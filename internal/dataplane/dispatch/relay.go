package dispatch

import (
	"io"
	"net/http"
	"strconv"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/edges"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/deadline"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
	"github.com/ridgeswitch/ridgeswitch/pkg/attempts"
)

// bufferedResponse is a complete response that has not been written to the caller yet.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// callerDisconnectedError reports that a write to the caller failed because the caller has
// disconnected.
type callerDisconnectedError struct {
	cause error
}

// Error implements error.
func (e *callerDisconnectedError) Error() string {
	return "the caller takes no more of the answer: " + e.cause.Error()
}

// relay relays a response as it arrives, beginning with the data that has already been read;
// err is the error of that read, if any. The status line is written only here, when the first
// data or the end of the response has arrived, so that the request can still be retried if the
// connection is lost earlier.
func (d *Dispatcher) relay(r *pendingRequest, attempt int, received edges.Response, data []byte, err error) error {
	r.apply(attempts.Event{Kind: attempts.ResponseStarted, Attempt: attempt})
	if !r.relaying {
		r.relaying = true
		inbound.BeginRelay(r.Request)
		r.writeHeader(received.Status(), received.Header())
	}
	controller := http.NewResponseController(r.Writer)
	for err == nil {
		if _, writeError := r.Writer.Write(data); writeError != nil {
			return &callerDisconnectedError{cause: writeError}
		}
		if flushError := controller.Flush(); flushError != nil {
			return &callerDisconnectedError{cause: flushError}
		}
		r.lastEventID = received.LastEventID()
		r.unresumable = r.lastEventID == ""
		data, err = received.Next()
	}
	if isCompleteEnd(err) {
		return nil
	}
	return err
}

// isCompleteEnd reports whether an error of Response.Next means that the response is complete.
// Only a bare io.EOF does: an error that wraps io.EOF reports a truncated response.
func isCompleteEnd(err error) bool {
	return err == io.EOF //nolint:errorlint // a wrapped io.EOF is a truncated response
}

// abortRelay ends a truncated response so that the caller cannot mistake it for a complete
// one: it writes an error event if the response is an event stream, and then aborts the
// connection.
func (d *Dispatcher) abortRelay(r *pendingRequest) {
	r.Failed = true
	r.countAbort()
	if r.Writer.Header().Get("Content-Type") == caller.StreamType {
		r.writeErrorEvent()
	}
	panic(http.ErrAbortHandler)
}

// writeErrorEvent reports the truncation to the caller with an event in the stream, if the
// caller's protocol defines such an event.
func (r *pendingRequest) writeErrorEvent() {
	event := r.Edges.Callers.ErrorEvent(r.truncationError())
	if len(event) == 0 {
		return
	}
	_, _ = r.Writer.Write(event)
	_ = http.NewResponseController(r.Writer).Flush()
}

// countAbort counts a truncated response, or one whose caller has disconnected.
func (r *pendingRequest) countAbort() {
	if r.tracker.CallerDisconnected() {
		r.Counters.CountAbandoned()
		return
	}
	r.Counters.CountTruncated()
}

// truncationError returns the error for a truncated response.
func (r *pendingRequest) truncationError() *caller.Error {
	callerError := r.finalError()
	callerError.Kind = caller.KindResponseTruncated
	if deadline.Passed(r.Context) {
		callerError = deadline.Error()
	}
	callerError.MayHaveRun = true
	callerError.RequestID = r.RequestID
	return callerError
}

// writeBuffered writes the buffered response, if there is one: a response that was relayed as
// it arrived is not buffered.
func (r *pendingRequest) writeBuffered() {
	if r.buffered == nil {
		return
	}
	header := r.buffered.header
	if r.Request.Method != http.MethodHead && permitsBody(r.buffered.status) {
		header.Set("Content-Length", strconv.Itoa(len(r.buffered.body)))
	}
	r.writeHeader(r.buffered.status, header)
	_, _ = r.Writer.Write(r.buffered.body)
}

// permitsBody reports whether a response with a status may have a body.
func permitsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeHeader writes the status line and header of a response.
func (r *pendingRequest) writeHeader(status int, header http.Header) {
	r.Observer.ResponseStarted(status, header)
	target := r.Writer.Header()
	for name, values := range header {
		target[name] = values
	}
	r.Edges.Callers.CompleteHeader(target, r.RequestID)
	r.Writer.WriteHeader(status)
}
