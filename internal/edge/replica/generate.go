package replica

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

// contentTypeStream is the media type of a streamed response.
const contentTypeStream = "text/event-stream"

// maxRefusalBytes bounds the bytes that are read of a rejection's body.
const maxRefusalBytes = 64 << 10

// Pull tells a replica to fetch cached chunks instead of computing them.
type Pull struct {
	// Source is the address to fetch from.
	Source string
	// FirstChunk and LastChunk are positions in the prefix, from 0.
	FirstChunk, LastChunk int
}

// Call is one attempt to run a request on a replica.
type Call struct {
	// CallerRequest is the request that the attempt is for. What the node holds of the response
	// is charged to it.
	CallerRequest *http.Request
	Address       string
	Model         string
	CacheSalt     string
	// Prefix lists the prompt's chunks in the form of HeaderPrefix.
	Prefix    string
	RequestID string
	// AttemptID is unique among all attempts of all nodes.
	AttemptID string
	// Attempt is the number of the attempt, from 1.
	Attempt      int
	OutputTokens uint32
	// Idempotent reports whether the caller permits the request to run more than once.
	Idempotent bool
	Streamed   bool
	// Pull is nil if nothing is to be fetched.
	Pull *Pull
	// Extra contains headers that are sent unchanged.
	Extra       http.Header
	ContentType string
	Body        []byte
}

// Client runs requests on replicas. It may be used concurrently.
type Client struct {
	sender *outbound.Client
	// maxResponseBytes bounds a complete response, or one event of a streamed response.
	maxResponseBytes int64
}

// NewClient returns a client that accepts complete responses, and events of streamed responses, of
// at most maxResponseBytes.
func NewClient(sender *outbound.Client, maxResponseBytes int64) *Client {
	return &Client{sender: sender, maxResponseBytes: maxResponseBytes}
}

// Generate sends one attempt and reads the header of its response. The errors are
// *outbound.Error, *outbound.RefusedError and *outbound.InvalidResponseError.
func (c *Client) Generate(ctx context.Context, call Call) (*Response, error) {
	request, err := c.request(ctx, call)
	if err != nil {
		return nil, err
	}
	response, err := c.sender.Send(request, call.Body)
	if err != nil {
		return nil, err
	}
	if err := checkAttemptID(response, call); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if response.Header.Get(HeaderNotRun) == "true" && response.StatusCode >= http.StatusBadRequest {
		return nil, readRefusal(response)
	}
	return newResponse(call.CallerRequest, response, c.maxResponseBytes), nil
}

// request builds the HTTP request of an attempt.
func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+PathGenerate, nil)
	if err != nil {
		return nil, outbound.NotSent(err)
	}
	header := request.Header
	for name, values := range call.Extra {
		header[name] = append([]string(nil), values...)
	}
	setNonEmpty(header, HeaderModel, call.Model)
	setNonEmpty(header, HeaderCacheSalt, call.CacheSalt)
	setNonEmpty(header, HeaderPrefix, call.Prefix)
	setNonEmpty(header, HeaderRequestID, call.RequestID)
	setNonEmpty(header, "Content-Type", call.ContentType)
	header.Set(HeaderAttemptID, call.AttemptID)
	header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	header.Set(HeaderRepeatable, strconv.FormatBool(call.Idempotent))
	if call.OutputTokens > 0 {
		header.Set(HeaderOutputTokens, strconv.FormatUint(uint64(call.OutputTokens), 10))
	}
	if call.Streamed {
		header.Set("Accept", contentTypeStream)
	}
	if call.Pull != nil {
		header.Set(HeaderPullSource, call.Pull.Source)
		header.Set(HeaderPullChunks, fmt.Sprintf("%d-%d", call.Pull.FirstChunk, call.Pull.LastChunk))
	}
	return request, nil
}

// setNonEmpty sets a header unless its value is empty.
func setNonEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// checkAttemptID returns an *outbound.InvalidResponseError if the response does not echo the ID of
// its attempt.
func checkAttemptID(response *http.Response, call Call) error {
	echoed := response.Header.Get(HeaderAttemptID)
	if echoed == call.AttemptID {
		return nil
	}
	return &outbound.InvalidResponseError{Kind: outbound.Foreign, Reason: "the answer belongs to another attempt", Cause: errors.Errorf("it names %q instead of %q", echoed, call.AttemptID)}
}

// readRefusal returns the error of a rejection, with its body as the message, and closes the
// response.
func readRefusal(response *http.Response) *outbound.RefusedError {
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	return &outbound.RefusedError{
		Status:     response.StatusCode,
		RetryAfter: outbound.RetryAfter(response.Header),
		Message:    string(bytes.TrimSpace(body)),
	}
}
