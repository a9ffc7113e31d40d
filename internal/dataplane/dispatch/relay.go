package dispatch

import (
	"io"
	"net/http"
	"strconv"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/edges"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/deadline"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/pkg/attempts"
)

// bufferedResponse is a complete response that has not been relayed.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// callerGoneError reports that bytes could not be written to the caller.
type callerGoneError struct {
	cause error
}

// Error implements error.
func (e *callerGoneError) Error() string {
	return "the caller takes no more of the answer: " + e.cause.Error()
}

// relay relays a response as it arrives, beginning with the chunk that has been read, or
// with err instead of one. A streamed response gets its status line only here, once its
// first chunk or its end has arrived, so that an earlier loss can still be retried.
func (d *Dispatcher) relay(w *work, attempt int, received edges.Response, chunk []byte, err error) error {
	w.apply(attempts.Event{Kind: attempts.ResponseStarted, Attempt: attempt})
	if !w.relaying {
		w.relaying = true
		w.writeHeader(received.Status(), received.Header())
	}
	controller := http.NewResponseController(w.Writer)
	for err == nil {
		if _, writeError := w.Writer.Write(chunk); writeError != nil {
			return &callerGoneError{cause: writeError}
		}
		if flushError := controller.Flush(); flushError != nil {
			return &callerGoneError{cause: flushError}
		}
		w.lastEventID = received.LastEventID()
		chunk, err = received.Next()
	}
	if isCompleteEnd(err) {
		return nil
	}
	return err
}

// isCompleteEnd reports whether Next has said that a response is complete. Only the bare
// io.EOF says so: an error that wraps one reports a truncation.
func isCompleteEnd(err error) bool {
	return err == io.EOF //nolint:errorlint // a wrapped io.EOF is a truncated response
}

// abortRelay ends a truncated response so that nobody mistakes it for a complete one:
// with an error event where the response is a stream of events, and then by aborting the
// connection.
func (d *Dispatcher) abortRelay(w *work) {
	w.Failed = true
	w.countAbort()
	if w.Writer.Header().Get("Content-Type") == caller.StreamType {
		w.writeErrorEvent()
	}
	panic(http.ErrAbortHandler)
}

// writeErrorEvent reports the truncation inside the stream, where the protocol has an
// event for that.
func (w *work) writeErrorEvent() {
	event := w.Edges.Callers.ErrorEvent(w.truncationError())
	if len(event) == 0 {
		return
	}
	_, _ = w.Writer.Write(event)
	_ = http.NewResponseController(w.Writer).Flush()
}

// countAbort counts a truncated response, or one whose caller has disconnected.
func (w *work) countAbort() {
	if w.tracker.CallerDisconnected() {
		w.Counters.CountAbandoned()
		return
	}
	w.Counters.CountTruncated()
}

// truncationError reports a truncated response.
func (w *work) truncationError() *caller.Error {
	callerError := w.finalError()
	callerError.Kind = caller.KindResponseTruncated
	if deadline.Passed(w.Context) {
		callerError = deadline.Error()
	}
	callerError.MayHaveRun = true
	callerError.RequestID = w.RequestID
	return callerError
}

// writeBuffered writes a buffered response. There is none if the response was relayed as
// it arrived.
func (w *work) writeBuffered() {
	if w.buffered == nil {
		return
	}
	header := w.buffered.header
	if w.Request.Method != http.MethodHead && permitsBody(w.buffered.status) {
		header.Set("Content-Length", strconv.Itoa(len(w.buffered.body)))
	}
	w.writeHeader(w.buffered.status, header)
	_, _ = w.Writer.Write(w.buffered.body)
}

// permitsBody reports whether a response with a status may have a body.
func permitsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeHeader writes the status line and header of a response.
func (w *work) writeHeader(status int, header http.Header) {
	w.Observer.ResponseStarted(status, header)
	target := w.Writer.Header()
	for name, values := range header {
		target[name] = values
	}
	w.Edges.Callers.CompleteHeader(target, w.RequestID)
	w.Writer.WriteHeader(status)
}
