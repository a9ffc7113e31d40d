package caller

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	edge "github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
)

// errorEvent is the name of the event by which a node reports that a streamed response
// is truncated.
const errorEvent = "error"

// errTruncated reports a stream that the node ended with an error event.
var errTruncated = errors.New("response truncated: the node ended the stream with an error event")

// refusal is the body of an error response. MayHaveRun is a pointer, because a body without
// this field must not be taken as a claim that the request has not run.
type refusal struct {
	Kind       string `json:"kind"`
	MayHaveRun *bool  `json:"may_have_run"`
	RequestID  string `json:"request_id"`
}

// readRefusal reads and records an error response. It returns an error if the body is
// truncated.
func readRefusal(record *checker.Request, header http.Header, body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	record.Result = checker.ResultRefused
	record.RetryAfter = retryAfter(header)
	var problem refusal
	if err := json.Unmarshal(data, &problem); err != nil {
		record.ErrorKind = "untyped"
		return nil
	}
	recordProblem(record, problem)
	return nil
}

// recordProblem records the kind of an error, the request ID that it names, and whether it
// claims that the request may have run.
func recordProblem(record *checker.Request, problem refusal) {
	record.ErrorKind = problem.Kind
	record.EchoID = problem.RequestID
	switch {
	case problem.MayHaveRun == nil:
		record.Claim = checker.ClaimNone
	case *problem.MayHaveRun:
		record.Claim = checker.ClaimMayHaveRun
	default:
		record.Claim = checker.ClaimNotRun
	}
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseUint(header.Get(edge.HeaderRetryAfter), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// readComplete reads a replica's response that is not streamed.
func readComplete(record *checker.Request, body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var response standin.CompleteResponse
	_ = json.Unmarshal(data, &response)
	record.EchoID = response.RequestID
	record.DigestMatches = standin.CheckComplete(record.ID, data) == nil
	record.Result = checker.ResultComplete
	return nil
}

// readPage reads a web service's response, whose digest and request ID are in headers.
func readPage(record *checker.Request, header http.Header, body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	digest := sha256.Sum256(data)
	record.EchoID = header.Get(edge.HeaderRequestID)
	record.DigestMatches = header.Get(standin.HeaderDigest) == hex.EncodeToString(digest[:])
	record.Result = checker.ResultComplete
	return nil
}

// readStream reads a streamed response. The response counts as complete once its last event
// has been read.
func readStream(record *checker.Request, body io.Reader) error {
	check := standin.NewStreamCheck(record.ID)
	reader := bufio.NewReader(body)
	for !check.Ended() {
		event, err := readEvent(reader)
		if err != nil {
			return err
		}
		if event.name == errorEvent {
			return readErrorEvent(record, event.data)
		}
		recordEcho(record, event)
		check.Event(event.name, event.data)
	}
	record.DigestMatches = check.Err() == nil
	record.Result = checker.ResultComplete
	return nil
}

func readErrorEvent(record *checker.Request, data string) error {
	var problem refusal
	if err := json.Unmarshal([]byte(data), &problem); err == nil {
		recordProblem(record, problem)
	}
	return errTruncated
}

// recordEcho records the request ID that an event names. Once an ID other than the caller's
// is recorded, later events do not replace it.
func recordEcho(record *checker.Request, event serverEvent) {
	var chunk standin.ChunkResponse
	if json.Unmarshal([]byte(event.data), &chunk) != nil || chunk.RequestID == "" {
		return
	}
	if record.EchoID == "" || record.EchoID == record.ID {
		record.EchoID = chunk.RequestID
	}
}

// serverEvent is one server-sent event.
type serverEvent struct {
	name string
	data string
}

// readEvent reads one event, up to the blank line that ends it.
func readEvent(reader *bufio.Reader) (serverEvent, error) {
	var event serverEvent
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return event, err
		}
		line = strings.TrimRight(line, "\r\n")
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "" && event == serverEvent{}:
			continue
		case line == "":
			return event, nil
		case field == "event":
			event.name = value
		case field == "data":
			event.data += value
		}
	}
}
