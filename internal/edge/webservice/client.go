// Package webservice speaks the protocol between a node and a plain web service: the
// caller's request is forwarded as it is, and so is the response. A Client keeps no state
// but the connections of its sender and may be used concurrently; a Response belongs to
// one goroutine, which closes it.
package webservice

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

const (
	// headerAuthorization carries the caller's key, which is not for back ends.
	headerAuthorization = "Authorization"
	// HeaderRequestID carries the identity of the request.
	HeaderRequestID = "Request-Id"
	// HeaderAttemptID carries the identity of the attempt. A back end need not
	// echo it, unless it refuses with HeaderNotRun.
	HeaderAttemptID = "Attempt-Id"
	// HeaderNotRun with the value "true", in a rejection, guarantees that the
	// request has not run and will not run.
	HeaderNotRun = "Not-Run"
)

// hopByHopHeaders describe one connection and are not forwarded.
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
	// RequestID is the identity of the request.
	RequestID string
	// AttemptID is unique among all attempts of all nodes.
	AttemptID string
}

// Client forwards requests to web services. It may be used by many goroutines.
type Client struct {
	sender *outbound.Client
	// maxBufferedBytes bounds what is read of a response before any of it is
	// forwarded.
	maxBufferedBytes int64
}

// NewClient returns a client that reads up to maxBufferedBytes of a response
// before it is forwarded.
func NewClient(sender *outbound.Client, maxBufferedBytes int64) *Client {
	return &Client{sender: sender, maxBufferedBytes: maxBufferedBytes}
}

// Forward runs one attempt up to the header of its response. The errors are
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
	return newResponse(response, c.maxBufferedBytes), nil
}

// checkAttempt refuses a response that names another attempt, and returns a
// rejection by which the back end guarantees not to run this one. The guarantee
// counts only if it names the attempt.
func checkAttempt(response *http.Response, call Call) error {
	echoed := response.Header.Get(HeaderAttemptID)
	if echoed == "" {
		return nil
	}
	if echoed != call.AttemptID {
		return &outbound.InvalidResponseError{Reason: fmt.Sprintf("the answer belongs to attempt %q instead of %q", echoed, call.AttemptID)}
	}
	if response.Header.Get(HeaderNotRun) != "true" || response.StatusCode < http.StatusBadRequest {
		return nil
	}
	return &outbound.RefusedError{Status: response.StatusCode, RetryAfter: outbound.RetryAfter(response.Header)}
}

// forwardedHeader returns the header without what is not for the back end.
func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	removeHopByHopHeaders(forwarded)
	forwarded.Del(headerAuthorization)
	if _, given := forwarded["User-Agent"]; !given {
		// An absent value would make net/http add its own.
		forwarded["User-Agent"] = nil
	}
	return forwarded
}

// removeHopByHopHeaders removes the headers that describe one connection.
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
