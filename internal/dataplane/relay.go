package dataplane

import (
	"io"
	"net/http"
	"strconv"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/pkg/attempts"
)

// bufferedResponse is a whole answer that is known to be complete.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// callerGoneError says that bytes could not be written to the caller.
type callerGoneError struct {
	cause error
}

// Error implements error.
func (e *callerGoneError) Error() string {
	return "the caller takes no more of the answer: " + e.cause.Error()
}

// relay hands an answer on as it comes, beginning with what has been read. The
// status line goes out only here, after a first part has come.
func (d *dispatcher) relay(w *work, attempt int, received Response, chunk []byte, err error) error {
	w.apply(attempts.Event{Kind: attempts.ResponseStarted, Attempt: attempt})
	if !w.relaying {
		w.relaying = true
		w.writeHeader(received.Status(), received.Header())
	}
	controller := http.NewResponseController(w.writer)
	for err == nil {
		if _, writeError := w.writer.Write(chunk); writeError != nil {
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

// isCompleteEnd tells whether Next has said that an answer is complete. Only the
// bare io.EOF says so: an error that merely wraps one tells of a cut.
func isCompleteEnd(err error) bool {
	return err == io.EOF //nolint:errorlint // a wrapped io.EOF is a truncated response
}

// abortRelay ends a cut answer so that nobody takes it for a complete one: an
// error event where the answer is a stream of events, and then an abnormal end
// of the connection.
func (d *dispatcher) abortRelay(w *work) {
	w.failed = true
	w.countAbort()
	if w.writer.Header().Get("Content-Type") == caller.StreamType {
		w.writeErrorEvent()
	}
	panic(http.ErrAbortHandler)
}

// writeErrorEvent tells of the cut inside the stream, where the protocol has
// a way to say so.
func (w *work) writeErrorEvent() {
	event := w.edges.Callers.ErrorEvent(w.truncationError())
	if len(event) == 0 {
		return
	}
	_, _ = w.writer.Write(event)
	_ = http.NewResponseController(w.writer).Flush()
}

// countAbort counts a cut answer, or one that nobody waits for any more.
func (w *work) countAbort() {
	if w.tracker.CallerDisconnected() {
		w.counters.countAbandoned()
		return
	}
	w.counters.countTruncated()
}

// truncationError tells of an answer that was cut.
func (w *work) truncationError() *caller.Error {
	callerError := w.finalError()
	callerError.Kind = caller.KindResponseTruncated
	if deadlinePassed(w.ctx) {
		callerError = deadlineError()
	}
	callerError.MayHaveRun = true
	callerError.RequestID = w.requestID
	return callerError
}

// writeBuffered hands a whole answer on. The header was written before if the
// answer was handed on as it came.
func (w *work) writeBuffered() {
	if w.buffered == nil {
		return
	}
	header := w.buffered.header
	if w.request.Method != http.MethodHead && permitsBody(w.buffered.status) {
		header.Set("Content-Length", strconv.Itoa(len(w.buffered.body)))
	}
	w.writeHeader(w.buffered.status, header)
	_, _ = w.writer.Write(w.buffered.body)
}

// permitsBody tells whether an answer of a status may have a body.
func permitsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeHeader writes the status line and header of an answer.
func (w *work) writeHeader(status int, header http.Header) {
	w.observer.responseStarted(status, header)
	target := w.writer.Header()
	for name, values := range header {
		target[name] = values
	}
	w.edges.Callers.CompleteHeader(target, w.requestID)
	w.writer.WriteHeader(status)
}
