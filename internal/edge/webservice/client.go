// Package webservice speaks the protocol between a node and a plain web
// service: the caller's request is handed on as it is, and so is the answer.
package webservice

import (
	"context"
	"net/http"
	"strings"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/outbound"
)

// headerAuthorization carries the caller's key, which is not for back ends.
const headerAuthorization = "Authorization"

// hopHeaders describe one connection and are not
// handed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Call is one attempt to have a web service answer a request.
type Call struct {
	Address string
	// Request is the caller's request; its body has been read.
	Request *http.Request
	Body    []byte
	// RequestID is the identity of the request.
	RequestID string
}

// FaultError says that an answer was cut, or that a cut could not be noticed.
type FaultError struct {
	Reason string
	cause  error
}

// Error implements error.
func (e *FaultError) Error() string {
	if e.cause == nil {
		return e.Reason
	}
	return e.Reason + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *FaultError) Unwrap() error {
	return e.cause
}

// Client hands requests to web services. It may be used by many goroutines.
type Client struct {
	sender *outbound.Client
	// maxWholeBytes bounds what is read of an answer before any of it is
	// handed on.
	maxWholeBytes int64
}

// NewClient returns a client that reads up to maxWholeBytes of an answer
// before it is handed on.
func NewClient(sender *outbound.Client, maxWholeBytes int64) *Client {
	return &Client{sender: sender, maxWholeBytes: maxWholeBytes}
}

// Forward runs one attempt up to the header of its answer. Errors are
// *outbound.Error.
func (c *Client) Forward(ctx context.Context, call Call) (*Answer, error) {
	target := "http://" + call.Address + call.Request.URL.RequestURI()
	request, err := http.NewRequestWithContext(ctx, call.Request.Method, target, nil)
	if err != nil {
		return nil, outbound.NotSent(err)
	}
	request.Header = forwardedHeader(call.Request.Header)
	request.Header.Set("Request-Id", call.RequestID)
	request.Host = call.Request.Host
	response, err := c.sender.Send(request, call.Body)
	if err != nil {
		return nil, err
	}
	return newAnswer(response, c.maxWholeBytes), nil
}

// forwardedHeader returns the header without what is not for the back end.
func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	removeHopHeaders(forwarded)
	forwarded.Del(headerAuthorization)
	if _, given := forwarded["User-Agent"]; !given {
		// An absent value would make net/http add its own.
		forwarded["User-Agent"] = nil
	}
	return forwarded
}

// removeHopHeaders removes the headers that describe one connection.
func removeHopHeaders(header http.Header) {
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}
