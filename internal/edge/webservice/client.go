// Package webservice implements the native protocol between a node and a plain web service: the
// caller's request and the response are forwarded unchanged, except for some headers. A Client has
// no state but the connections of its sender and may be used concurrently; a Response belongs to
// one goroutine, which closes it.
package webservice

import (
	"context"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

const (
	// headerAuthorization contains the caller's key, which is not forwarded to back ends.
	headerAuthorization = "Authorization"
	// HeaderRequestID is the ID of the request.
	HeaderRequestID = "Request-Id"
	// HeaderAttemptID is the ID of the attempt. A back end must echo it in a rejection with
	// HeaderNotRun, and need not echo it otherwise.
	HeaderAttemptID = "Attempt-Id"
	// HeaderNotRun with the value "true", in a rejection, guarantees that the
	// request has not run and will not run.
	HeaderNotRun = "Not-Run"
)

// hopByHopHeaders are the headers that apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Call is one attempt to run a request on a web service.
type Call struct {
	Address string
	// Request is the caller's request; its body has been read.
	Request *http.Request
	Body    []byte
	// RequestID is the ID of the request.
	RequestID string
	// AttemptID is unique among all attempts of all nodes.
	AttemptID string
}

// Client forwards requests to web services. It may be used concurrently.
type Client struct {
	sender *outbound.Client
	// maxBufferedBytes bounds the bytes of a response's body that are buffered before
	// any are forwarded.
	maxBufferedBytes int64
}

// NewClient returns a client that buffers up to maxBufferedBytes of a response's body before it
// is forwarded.
func NewClient(sender *outbound.Client, maxBufferedBytes int64) *Client {
	return &Client{sender: sender, maxBufferedBytes: maxBufferedBytes}
}

// Forward sends one attempt and reads the header of its response. The errors are
// *outbound.Error, *outbound.RefusedError and *outbound.InvalidResponseError.
func (c *Client) Forward(ctx context.Context, call Call) (*Response, error) {
	target := "http://" + call.Address + call.Request.URL.RequestURI()
	request, err := http.NewRequestWithContext(ctx, call.Request.Method, target, nil)
	if err != nil {
		return nil, outbound.NotSent(err)
	}
	request.Header = forwardedHeader(call.Request.Header)
	request.Header.Set(HeaderRequestID, call.RequestID)
	request.Header.Set(HeaderAttemptID, call.AttemptID)
	request.Host = call.Request.Host
	response, err := c.sender.Send(request, call.Body)
	if err != nil {
		return nil, err
	}
	if err := checkAttempt(response, call); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return newResponse(call.Request, response, c.maxBufferedBytes), nil
}

// checkAttempt returns an *outbound.InvalidResponseError if the response names another attempt,
// and an *outbound.RefusedError if the back end guarantees not to run this attempt. The guarantee
// counts only if the response names the attempt.
func checkAttempt(response *http.Response, call Call) error {
	echoed := response.Header.Get(HeaderAttemptID)
	if echoed == "" {
		return nil
	}
	if echoed != call.AttemptID {
		return &outbound.InvalidResponseError{Kind: outbound.Foreign, Reason: "the answer belongs to another attempt", Cause: errors.Errorf("it names %q instead of %q", echoed, call.AttemptID)}
	}
	if response.Header.Get(HeaderNotRun) != "true" || response.StatusCode < http.StatusBadRequest {
		return nil
	}
	return &outbound.RefusedError{Status: response.StatusCode, RetryAfter: outbound.RetryAfter(response.Header)}
}

// forwardedHeader returns a copy of the header without the caller's key and the hop-by-hop
// headers.
func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	removeHopByHopHeaders(forwarded)
	forwarded.Del(headerAuthorization)
	if _, given := forwarded["User-Agent"]; !given {
		// Without an entry, net/http would add a User-Agent of its own.
		forwarded["User-Agent"] = nil
	}
	return forwarded
}

// removeHopByHopHeaders removes the hop-by-hop headers and the headers that Connection lists.
func removeHopByHopHeaders(header http.Header) {
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
