package webservice

import (
	"io"
	"mime"
	"net/http"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

const (
	// copyBufferBytes is how much of a response is forwarded at a time.
	copyBufferBytes = 32 << 10
	// streamType is the media type of responses that are forwarded as they come.
	streamType = "text/event-stream"
)

// Response is the response of an attempt whose header has arrived. Close it.
type Response struct {
	response *http.Response
	header   http.Header
	maxBytes int64
	buffer   []byte
}

// newResponse wraps a response.
func newResponse(response *http.Response, maxBytes int64) *Response {
	header := response.Header.Clone()
	removeHopHeaders(header)
	header.Del(HeaderAttemptID)
	return &Response{response: response, header: header, maxBytes: maxBytes}
}

// Status returns the HTTP status.
func (a *Response) Status() int {
	return a.response.StatusCode
}

// Header returns the headers that are forwarded.
func (a *Response) Header() http.Header {
	return a.header
}

// Streamed reports whether the response is to be forwarded as it comes.
func (a *Response) Streamed() bool {
	mediaType, _, err := mime.ParseMediaType(a.header.Get("Content-Type"))
	return err == nil && mediaType == streamType
}

// Close ends the response.
func (a *Response) Close() {
	_ = a.response.Body.Close()
}

// ReadAll reads the response up to the bound. It returns false if there is
// more, which Next returns. A truncated response, or one whose truncation could not be
// noticed, is a *outbound.InvalidResponseError.
func (a *Response) ReadAll() ([]byte, bool, error) {
	if err := a.checkDelimited(); err != nil {
		return nil, false, err
	}
	body, err := io.ReadAll(io.LimitReader(a.response.Body, a.maxBytes+1))
	if err != nil {
		return nil, false, &outbound.InvalidResponseError{Reason: "the answer was cut", Cause: errors.WithStack(err)}
	}
	return body, int64(len(body)) <= a.maxBytes, nil
}

// Next returns the next bytes of the response, and io.EOF after its proper end.
// The bytes are valid until the next call.
func (a *Response) Next() ([]byte, error) {
	if err := a.checkDelimited(); err != nil {
		return nil, err
	}
	if a.buffer == nil {
		a.buffer = make([]byte, copyBufferBytes)
	}
	for {
		count, err := a.response.Body.Read(a.buffer)
		if count > 0 {
			return a.buffer[:count], nil
		}
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		if err != nil {
			return nil, &outbound.InvalidResponseError{Reason: "the answer was cut", Cause: errors.WithStack(err)}
		}
	}
}

// checkDelimited returns a *outbound.InvalidResponseError unless the end of the response is marked.
func (a *Response) checkDelimited() error {
	response := a.response
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return nil
	}
	if response.Request != nil && response.Request.Method == http.MethodHead {
		return nil
	}
	return &outbound.InvalidResponseError{Reason: "the answer has neither a length nor chunks, so a cut could not be noticed"}
}

// WeightVersion returns "": a web service has no weights.
func (a *Response) WeightVersion() string {
	return ""
}

// LastEventID returns "": the events of this protocol have no identities.
func (a *Response) LastEventID() string {
	return ""
}
