package webservice

import (
	"mime"
	"net/http"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

// streamType is the media type of responses that are forwarded as they arrive.
const streamType = "text/event-stream"

// Response is the response of an attempt, whose header has arrived. The caller must close it.
type Response struct {
	// callerRequest is the request that the response is for.
	callerRequest *http.Request
	response      *http.Response
	// header contains the headers that are forwarded.
	header http.Header
	// maxBytes bounds the bytes that ReadAll buffers. ReadAll returns one byte more to show
	// that the response is longer.
	maxBytes int64
	// rest reads the body as it arrives.
	rest *outbound.RelayReader
}

// newResponse wraps a response to a caller's request.
func newResponse(callerRequest *http.Request, response *http.Response, maxBytes int64) *Response {
	header := response.Header.Clone()
	removeHopByHopHeaders(header)
	header.Del(HeaderAttemptID)
	return &Response{
		callerRequest: callerRequest,
		response:      response,
		header:        header,
		maxBytes:      maxBytes,
		rest:          outbound.NewRelayReader(response.Body),
	}
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

// ReadAll reads the response up to the client's buffer limit, as far as the node has room for it. It
// returns false if there is more; Next returns the rest. The error is an *outbound.InvalidResponseError if the response is
// truncated, or does not mark its end, so that truncation would go unnoticed.
func (r *Response) ReadAll() ([]byte, bool, error) {
	if err := r.checkDelimited(); err != nil {
		return nil, false, err
	}
	body, complete, err := inbound.ReadResponse(r.callerRequest, r.response.Body, r.response.ContentLength, r.maxBytes)
	if err != nil {
		return nil, false, outbound.TruncatedError(err)
	}
	return body, complete, nil
}

// Next returns the next bytes of the response, and io.EOF after its complete end.
// The bytes are valid until the next call.
func (r *Response) Next() ([]byte, error) {
	if err := r.checkDelimited(); err != nil {
		return nil, err
	}
	return r.rest.Next()
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
