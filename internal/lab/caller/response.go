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

// errorEvent is the name of the event by which a node tells that a streamed
// response is truncated.
const errorEvent = "error"

// errTruncated is the end of a response that the node itself declared to be truncated.
var errTruncated = errors.New("the answer was cut")

// refusal is the body of an error. The claim is a pointer, since a body that
// does not make it must not be read as "not run".
type refusal struct {
	Kind       string `json:"kind"`
	MayHaveRun *bool  `json:"may_have_run"`
	RequestID  string `json:"request_id"`
}

// readRefusal reads an error response. An error is returned when it was truncated.
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

// recordProblem records the kind of an error and what it claims of the execution.
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

// readComplete reads a replica's answer in one piece.
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

// readPage reads a web service's answer, whose digest and request stand in
// headers.
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

// readStream reads a streamed answer. To its caller it is complete once its
// last event has come.
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

// recordEcho records the identity of the request that an event names. One that is not
// the caller's stays, whatever follows.
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

// readEvent reads up to the blank line that ends an event.
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
