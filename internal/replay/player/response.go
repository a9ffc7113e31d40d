package player

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
)

const (
	// maxProblemBytes bounds what is read of an error.
	maxProblemBytes = 64 << 10
	// streamEnd is what a complete stream of events ends with.
	streamEnd = "data: [DONE]"
	// tailBytes is how much of the end of a stream is kept, to find streamEnd in it.
	tailBytes = 64
)

// readResponse reads an answer to its end.
func readResponse(response *http.Response, began time.Time) Result {
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return readProblem(response)
	}
	result := Result{Outcome: recording.Completed}
	if tokens, err := strconv.ParseUint(response.Header.Get(replica.HeaderReusedTokens), 10, 64); err == nil {
		result.ReusedTokens = tokens
	}
	tail := &tailWriter{began: began}
	_, err := io.Copy(tail, response.Body)
	result.FirstToken = tail.first
	if err != nil || isStream(response) && !tail.endedStream() {
		result.Outcome = recording.Truncated
	}
	return result
}

func isStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), caller.StreamType)
}

// tailWriter records when the first byte came, and keeps the last ones.
type tailWriter struct {
	began time.Time
	// first is the time from began to the first byte; 0 before it.
	first time.Duration
	tail  []byte
}

// Write implements io.Writer.
func (w *tailWriter) Write(data []byte) (int, error) {
	if w.first == 0 {
		w.first = time.Since(w.began)
	}
	w.tail = append(w.tail, data...)
	if surplus := len(w.tail) - tailBytes; surplus > 0 {
		w.tail = append(w.tail[:0], w.tail[surplus:]...)
	}
	return len(data), nil
}

// endedStream reports whether a complete stream of events was written.
func (w *tailWriter) endedStream() bool {
	return bytes.HasSuffix(bytes.TrimSpace(w.tail), []byte(streamEnd))
}

// problem is the body of an error. MayHaveRun is a pointer, since a body without it
// must not be read as "has not run".
type problem struct {
	Kind       string `json:"kind"`
	MayHaveRun *bool  `json:"may_have_run"`
}

func readProblem(response *http.Response) Result {
	result := Result{Outcome: recording.Refused, Problem: problemUntyped}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	var received problem
	if err != nil || json.Unmarshal(data, &received) != nil || received.Kind == "" {
		return result
	}
	result.Problem = received.Kind
	result.Certain = received.MayHaveRun != nil && !*received.MayHaveRun
	if seconds, err := strconv.ParseUint(response.Header.Get(caller.HeaderRetryAfter), 10, 16); err == nil {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	return result
}
