package webservice

import (
	"io"
	"mime"
	"net/http"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

const (
	// copyBufferBytes bounds the bytes that one call of Next returns.
	copyBufferBytes = 32 << 10
	// streamType is the media type of responses that are forwarded as they arrive.
	streamType = "text/event-stream"
)

// Response is the response of an attempt, whose header has arrived. The caller must close it.
type Response struct {
	response *http.Response
	// header contains the headers that are forwarded.
	header http.Header
	// maxBytes bounds the bytes that ReadAll buffers. ReadAll returns one byte more to show
	// that the response is longer.
	maxBytes int64
	// buffer holds the bytes that Next returned last; nil before its first call.
	buffer []byte
}

// newResponse wraps a response.
func newResponse(response *http.Response, maxBytes int64) *Response {
	header := response.Header.Clone()
	removeHopByHopHeaders(header)
	header.Del(HeaderAttemptID)
	return &Response{response: response, header: header, maxBytes: maxBytes}
}

// Status returns the HTTP status.
func (r *Response) Status() int {
	return r.response.StatusCode
}

// Header returns the headers that are forwarded.
func (r *Response) Header() http.Header {
	return r.header
}

// Streamed reports whether the response is to be forwarded as it arrives.
func (r *Response) Streamed() bool {
	mediaType, _, err := mime.ParseMediaType(r.header.Get("Content-Type"))
	return err == nil && mediaType == streamType
}

// Close closes the body of the response.
func (r *Response) Close() {
	_ = r.response.Body.Close()
}

// ReadAll reads the response up to the client's buffer limit. It returns false if the response is
// longer; Next returns the rest. The error is an *outbound.InvalidResponseError if the response is
// truncated, or does not mark its end, so that truncation would go unnoticed.
func (r *Response) ReadAll() ([]byte, bool, error) {
	if err := r.checkDelimited(); err != nil {
		return nil, false, err
	}
	body, err := io.ReadAll(io.LimitReader(r.response.Body, r.maxBytes+1))
	if err != nil {
		return nil, false, &outbound.InvalidResponseError{Kind: outbound.Truncated, Reason: "the answer was cut", Cause: errors.WithStack(err)}
	}
	return body, int64(len(body)) <= r.maxBytes, nil
}

// Next returns the next bytes of the response, and io.EOF after its complete end.
// The bytes are valid until the next call.
func (r *Response) Next() ([]byte, error) {
	if err := r.checkDelimited(); err != nil {
		return nil, err
	}
	if r.buffer == nil {
		r.buffer = make([]byte, copyBufferBytes)
	}
	for {
		count, err := r.response.Body.Read(r.buffer)
		if count > 0 {
			return r.buffer[:count], nil
		}
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		if err != nil {
			return nil, &outbound.InvalidResponseError{Kind: outbound.Truncated, Reason: "the answer was cut", Cause: errors.WithStack(err)}
		}
	}
}

// checkDelimited returns an *outbound.InvalidResponseError unless the response marks its end or has
// no body because the request's method is HEAD.
func (r *Response) checkDelimited() error {
	response := r.response
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return nil
	}
	if response.Request != nil && response.Request.Method == http.MethodHead {
		return nil
	}
	return &outbound.InvalidResponseError{Kind: outbound.Undelimited, Reason: "the answer has neither a length nor chunks, so a cut could not be noticed"}
}

// WeightVersion returns "", since a web service has no weights.
func (r *Response) WeightVersion() string {
	return ""
}

// LastEventID returns "", since the events of this protocol have no IDs.
func (r *Response) LastEventID() string {
	return ""
}
