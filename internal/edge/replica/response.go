package replica

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/eventstream"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

// passThroughPrefix is the prefix of headers that are forwarded unchanged.
const passThroughPrefix = "Lab-"

// relayedHeaders are the headers of a response that are forwarded to callers, besides those with
// passThroughPrefix.
var relayedHeaders = map[string]bool{
	"Content-Type":      true,
	"Retry-After":       true,
	HeaderWeightVersion: true,
	HeaderReusedTokens:  true,
}

// Response is the response of an attempt, whose header has arrived. The caller must close it.
type Response struct {
	// callerRequest is the request that the response is for.
	callerRequest *http.Request
	response      *http.Response
	// maxBytes bounds a complete response, or one event of a stream.
	maxBytes int64
	// events reads the body of a stream, and rest that of any other response.
	events *eventstream.Reader
	rest   *outbound.RelayReader
	// ended means that Next has returned the event that ends the stream.
	ended bool
}

// newResponse wraps a response to a caller's request.
func newResponse(callerRequest *http.Request, response *http.Response, maxBytes int64) *Response {
	events := eventstream.NewReader(response.Body, int(maxBytes))
	events.LimitMemory(func(bytes int) bool { return inbound.ReserveResponse(callerRequest, int64(bytes)) })
	return &Response{
		callerRequest: callerRequest,
		response:      response,
		maxBytes:      maxBytes,
		events:        events,
		rest:          outbound.NewRelayReader(response.Body),
	}
}

// Status returns the HTTP status.
func (r *Response) Status() int {
	return r.response.StatusCode
}

// Header returns the headers that are forwarded to the caller.
func (r *Response) Header() http.Header {
	relayed := make(http.Header, len(r.response.Header))
	for name, values := range r.response.Header {
		if relayedHeaders[name] || strings.HasPrefix(name, passThroughPrefix) {
			// The values are not copied, since the response's own header is not changed.
			relayed[name] = values
		}
	}
	return relayed
}

// WeightVersion returns the weight version that produced the response, or "" if the response does
// not name one.
func (r *Response) WeightVersion() string {
	return r.response.Header.Get(HeaderWeightVersion)
}

// Streamed reports whether the response is a stream of events.
func (r *Response) Streamed() bool {
	mediaType, _, err := mime.ParseMediaType(r.response.Header.Get("Content-Type"))
	return err == nil && mediaType == contentTypeStream
}

// Close closes the body of the response. If it was not read to its end, the connection is closed,
// which cancels the attempt if the replica notices it.
func (r *Response) Close() {
	_ = r.response.Body.Close()
}

// ReadAll reads the complete response. The second result is true if there is no error. The error is
// an *outbound.InvalidResponseError if the response is truncated, is too large, or does not mark its
// end, so that truncation would go unnoticed.
func (r *Response) ReadAll() ([]byte, bool, error) {
	if !r.delimited() {
		return nil, false, &outbound.InvalidResponseError{Kind: outbound.Undelimited, Reason: "the answer has neither a length nor chunks, so a cut could not be noticed"}
	}
	body, complete, err := inbound.ReadResponse(r.callerRequest, r.response.Body, r.response.ContentLength, r.maxBytes)
	if err != nil {
		return nil, false, outbound.TruncatedError(err)
	}
	if max(int64(len(body)), r.response.ContentLength) > r.maxBytes {
		return nil, false, &outbound.InvalidResponseError{Kind: outbound.TooLarge, Reason: "the answer is larger than this node takes"}
	}
	return body, complete, nil
}

// delimited reports whether the response marks its own end, by a length or by chunked encoding.
func (r *Response) delimited() bool {
	return r.response.ContentLength >= 0 || isChunked(r.response.TransferEncoding)
}

// isChunked reports whether the last transfer encoding of a message is chunked.
func isChunked(encodings []string) bool {
	return len(encodings) > 0 && strings.EqualFold(encodings[len(encodings)-1], "chunked")
}

// Next returns the next complete event of a stream, including the blank line that ends it. After
// the event that ends the stream it returns io.EOF. If the stream ends in another way, continues
// after that event, or holds bytes that are no event of this protocol, the error is an
// *outbound.InvalidResponseError. Next never returns a part of an event. It drops blank lines and
// comments.
func (r *Response) Next() ([]byte, error) {
	if !r.Streamed() {
		return r.rest.Next()
	}
	if r.ended {
		return nil, r.checkNothingFollows()
	}
	for {
		event, err := r.events.Next()
		if err != nil {
			return nil, invalidStream(err)
		}
		if len(event.Fields) == 0 {
			continue
		}
		if err := checkFields(event); err != nil {
			return nil, invalidStream(err)
		}
		r.ended = isStreamEnd(event)
		return event.Text, nil
	}
}

// checkFields returns an *eventstream.FormatError for an event that is none of this protocol: it has
// data, and no fields but those of the standard.
func checkFields(event eventstream.Event) error {
	hasData := false
	for _, field := range event.Fields {
		switch string(field.Name) {
		case eventstream.FieldData:
			hasData = true
		case eventstream.FieldEvent, eventstream.FieldID, eventstream.FieldRetry:
		default:
			return &eventstream.FormatError{Reason: "it has a line that events do not have", Text: event.Text}
		}
	}
	if !hasData {
		return &eventstream.FormatError{Reason: "it has no data", Text: event.Text}
	}
	return nil
}

// invalidStream returns the error for a stream that ends before the event that ends it.
func invalidStream(err error) error {
	var tooLong *eventstream.TooLongError
	var malformed *eventstream.FormatError
	switch {
	case errors.As(err, &tooLong):
		return &outbound.InvalidResponseError{Kind: outbound.TooLarge, Reason: "an event of the answer is larger than this node takes", Cause: err}
	case errors.As(err, &malformed):
		return &outbound.InvalidResponseError{Kind: outbound.Malformed, Reason: "the streamed answer holds what is no event: " + malformed.Error()}
	default:
		return &outbound.InvalidResponseError{Kind: outbound.Truncated, Reason: "the streamed answer was cut", Cause: unexpectedEOF(err)}
	}
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, so that a premature end is not taken for
// the complete end, which is io.EOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return errors.WithStack(io.ErrUnexpectedEOF)
	}
	return errors.WithStack(err)
}

// checkNothingFollows returns io.EOF unless the replica sent more bytes after the event that ends the
// stream. A read error does not matter, since that event has been received.
func (r *Response) checkNothingFollows() error {
	if r.events.AtEnd() {
		return io.EOF
	}
	return &outbound.InvalidResponseError{Kind: outbound.Surplus, Reason: "the streamed answer goes on after its end"}
}

// isStreamEnd reports whether an event is the one that ends a stream.
func isStreamEnd(event eventstream.Event) bool {
	for _, field := range event.Fields {
		if string(field.Name) == eventstream.FieldData && string(bytes.TrimSpace(field.Value)) == StreamEnd {
			return true
		}
	}
	return false
}

// LastEventID returns "", since the events of this protocol have no IDs.
func (r *Response) LastEventID() string {
	return ""
}
