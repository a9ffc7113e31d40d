package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	edge "github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
)

// requestBody is the body of every POST; nodes forward it.
const requestBody = `{"input":"lab"}`

// maxResponseBytes bounds the number of bytes that a caller reads of one response body.
const maxResponseBytes = 64 << 20

// Elapsed returns the time since the run began.
type Elapsed func() time.Duration

// exchange is one request to one node.
type exchange struct {
	client *http.Client
	now    Elapsed
	job    Job
	record *checker.Request
}

// newClient returns a client that opens a connection for each request.
func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
}

// do sends the request and fills in the record. It returns false if no connection could be
// made: nothing was sent then, and the request may be sent to another node.
func (call *exchange) do(ctx context.Context, target Target) bool {
	call.record.Node = target.Node
	request, err := call.request(ctx, target)
	if err != nil {
		call.fail(ctx, err)
		return true
	}
	response, err := call.client.Do(request)
	if err != nil {
		call.fail(ctx, err)
		return !isDialError(err)
	}
	defer func() { _ = response.Body.Close() }()
	call.record.FirstByte = call.now()
	call.record.Status = response.StatusCode
	call.read(ctx, response)
	return true
}

// isDialError reports whether the connection could not be made, so that nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func (call *exchange) request(ctx context.Context, target Target) (*http.Request, error) {
	var body io.Reader
	if call.job.Method == http.MethodPost {
		body = strings.NewReader(requestBody)
	}
	url := "http://" + target.TrafficAddress + call.job.Path
	request, err := http.NewRequestWithContext(ctx, call.job.Method, url, body)
	if err != nil {
		return nil, errors.Wrap(err, "build the request")
	}
	request.Host = call.job.Host
	call.setHeaders(request.Header)
	return request, nil
}

func (call *exchange) setHeaders(header http.Header) {
	job := call.job
	header.Set(edge.HeaderRequestID, call.record.ID)
	header.Set(edge.HeaderRepeatable, strconv.FormatBool(job.Repeatable))
	header.Set(standin.HeaderTenant, job.Tenant)
	if job.Secret != "" {
		header.Set(edge.HeaderAuthorization, "Bearer "+job.Secret)
	}
	if job.Model != "" {
		header.Set(edge.HeaderModel, job.Model)
	}
	if len(job.Chunks) > 0 {
		header.Set(edge.HeaderPrefix, edge.FormatPrefix(job.Chunks))
	}
	if job.OutputTokens > 0 {
		header.Set(edge.HeaderOutputTokens, strconv.FormatUint(uint64(job.OutputTokens), 10))
	}
	if job.Deadline > 0 {
		header.Set(edge.HeaderDeadline, strconv.FormatInt(job.Deadline.Milliseconds(), 10))
	}
	if job.Streamed {
		header.Set(edge.HeaderAccept, edge.StreamType)
	}
}

// read reads a response to its end and records the result.
func (call *exchange) read(ctx context.Context, response *http.Response) {
	body := io.LimitReader(response.Body, maxResponseBytes)
	var err error
	switch {
	case response.StatusCode >= http.StatusBadRequest:
		err = readRefusal(call.record, response.Header, body)
	case strings.HasPrefix(response.Header.Get("Content-Type"), edge.StreamType):
		err = readStream(call.record, body)
	case call.job.WebService:
		err = readPage(call.record, response.Header, body)
	default:
		err = readComplete(call.record, body)
	}
	call.record.Ended = call.now()
	if err != nil {
		call.record.Result = checker.ResultTruncated
		call.recordDisconnect(ctx)
	}
}

// fail records that the request ended without a response.
func (call *exchange) fail(ctx context.Context, err error) {
	call.record.Ended = call.now()
	call.record.Result = checker.ResultLost
	call.record.ErrorKind = "connection"
	if isDialError(err) {
		call.record.ErrorKind = "dial"
	}
	call.recordDisconnect(ctx)
}

// recordDisconnect marks an unfinished exchange as disconnected by the caller if its
// context has ended.
func (call *exchange) recordDisconnect(ctx context.Context) {
	if ctx.Err() != nil {
		call.record.Result = checker.ResultDisconnected
	}
}
