package replica

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
)

// refusedByFault is the reason of refusals that are injected as a fault.
const refusedByFault emulator.RefusalReason = "fault"

// retryAfterSeconds is the Retry-After value of a refusal.
const retryAfterSeconds = 1

// generate handles one attempt of a generate request.
func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	read, err := readCall(r.Header)
	setIDHeaders(w, read.request)
	if err == nil {
		err = standin.DrainBody(r)
	}
	if err != nil {
		w.Header().Set(protocol.HeaderNotRun, "true")
		standin.WriteJSON(w, http.StatusBadRequest, standin.Problem{Kind: "bad_request", Message: err.Error()})
		return
	}
	faults := s.faults.Draw()
	handle, notices, err := s.submit(read.request, faults)
	if err != nil {
		refuse(w, err)
		return
	}
	defer s.abandon(handle)
	if read.pull != nil {
		go s.pull(r.Context(), handle, *read.pull)
	}
	answer := &responseWriter{server: s, call: read, handle: handle, notices: notices, faults: faults}
	answer.write(w, r)
}

// submit submits an attempt to the model, or refuses it if the faults demand so.
func (s *Server) submit(request emulator.Request, faults standin.RequestFaults) (emulator.Handle, <-chan emulator.Notice, error) {
	var handle emulator.Handle
	var notices chan emulator.Notice
	var err error
	s.updateAndWake(func(now time.Duration) {
		if faults.Refuse {
			s.model.RecordRefusal(now, request, refusedByFault)
			err = &emulator.RefusedError{Reason: refusedByFault}
			return
		}
		if handle, err = s.model.Submit(now, request); err == nil {
			notices = make(chan emulator.Notice, 4+request.OutputTokens/chunkTokens)
			s.waiting[handle] = notices
		}
	})
	return handle, notices, err
}

// abandon cancels an attempt that is still running when its response has ended.
func (s *Server) abandon(handle emulator.Handle) {
	s.updateAndWake(func(now time.Duration) {
		delete(s.waiting, handle)
		s.model.Cancel(now, handle)
	})
}

// refuse writes a response stating that an attempt or a weights command has not run
// and will not run.
func refuse(w http.ResponseWriter, err error) {
	kind := "refused"
	var refusal *emulator.RefusedError
	if errors.As(err, &refusal) {
		kind = string(refusal.Reason)
	}
	w.Header().Set(protocol.HeaderNotRun, "true")
	w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	standin.WriteJSON(w, http.StatusServiceUnavailable, standin.Problem{Kind: kind, Message: err.Error()})
}

func setIDHeaders(w http.ResponseWriter, request emulator.Request) {
	w.Header().Set(protocol.HeaderRequestID, request.RequestID)
	w.Header().Set(protocol.HeaderAttemptID, request.AttemptID)
}

// responseWriter writes the response of one attempt.
type responseWriter struct {
	server  *Server
	call    call
	handle  emulator.Handle
	notices <-chan emulator.Notice
	faults  standin.RequestFaults
	sent    uint32
	output  strings.Builder
}

// write handles the notices of the attempt until it has finished or the request's
// context ends. It aborts the connection if the replica crashes.
func (a *responseWriter) write(w http.ResponseWriter, r *http.Request) {
	for {
		select {
		case <-r.Context().Done():
			return
		case notice := <-a.notices:
			switch {
			case notice.Kind == emulator.NoticeCrashed:
				panic(http.ErrAbortHandler)
			case a.call.stream:
				w = a.stream(w, r, notice)
			case notice.Kind == emulator.NoticeFinished:
				a.writeComplete(w, r, notice)
			}
			if notice.Kind == emulator.NoticeFinished {
				return
			}
		}
	}
}

// writeComplete writes a response that is not streamed.
func (a *responseWriter) writeComplete(w http.ResponseWriter, r *http.Request, notice emulator.Notice) {
	a.hang(r)
	a.setExecutionHeaders(w, notice)
	body, err := json.Marshal(standin.NewCompleteResponse(a.call.request.RequestID, notice.Tokens))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	truncating := standin.NewTruncatingWriter(w, a.faults)
	if _, err := truncating.Write(body); err == nil {
		a.server.recordDelivered(a.handle)
	}
}

// stream writes the events of a streamed response that a notice adds, and returns
// the writer for the next notice.
func (a *responseWriter) stream(w http.ResponseWriter, r *http.Request, notice emulator.Notice) http.ResponseWriter {
	if notice.Kind == emulator.NoticeFirstToken {
		a.hang(r)
		a.setExecutionHeaders(w, notice)
		w.Header().Set("Content-Type", eventStream)
		w.WriteHeader(http.StatusOK)
		w = standin.NewTruncatingWriter(w, a.faults)
	}
	id := a.call.request.RequestID
	if notice.Tokens > a.sent {
		output := standin.Output(id, a.sent, notice.Tokens)
		a.output.WriteString(output)
		a.sent = notice.Tokens
		a.event(w, "", standin.ChunkResponse{RequestID: id, Output: output})
	}
	if notice.Kind == emulator.NoticeFinished {
		digest := standin.Digest(id, a.output.String())
		a.event(w, standin.EventDigest, standin.DigestResponse{RequestID: id, Digest: digest})
		if _, err := fmt.Fprintf(w, "data: %s\n\n", protocol.StreamEnd); err == nil {
			a.server.recordDelivered(a.handle)
		}
	}
	_ = http.NewResponseController(w).Flush()
	return w
}

// event writes one server-sent event. It ignores write errors, because a broken
// connection also ends the request's context.
func (a *responseWriter) event(w http.ResponseWriter, name string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if name != "" {
		_, _ = fmt.Fprintf(w, "event: %s\n", name)
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

// setExecutionHeaders sets the headers whose values are known from the first token
// on.
func (a *responseWriter) setExecutionHeaders(w http.ResponseWriter, notice emulator.Notice) {
	w.Header().Set(protocol.HeaderWeightVersion, notice.WeightVersion)
	w.Header().Set(protocol.HeaderReusedTokens, strconv.FormatUint(notice.ReusedTokens, 10))
}

// hang blocks until the request's context ends and then aborts the connection, if
// the faults demand it.
func (a *responseWriter) hang(r *http.Request) {
	if !a.faults.Hang {
		return
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
