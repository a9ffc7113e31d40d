package replica

import (
	"bufio"
	"bytes"
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

// streamBufferBytes is the size of the read buffer of a stream.
const streamBufferBytes = 16 << 10

// maxPreallocatedBytes bounds the buffer that is allocated for a response's declared length before
// the response is read.
const maxPreallocatedBytes = 64 << 10

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
	response *http.Response
	// maxBytes bounds a complete response, or one event of a stream.
	maxBytes int64
	// stream reads the body; nil before the first call of Next.
	stream *bufio.Reader
	// ended means that Next has returned the event that ends the stream.
	ended bool
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
	var body bytes.Buffer
	body.Grow(int(min(max(r.response.ContentLength, 0), maxPreallocatedBytes)) + bytes.MinRead)
	if _, err := body.ReadFrom(io.LimitReader(r.response.Body, r.maxBytes+1)); err != nil {
		return nil, false, &outbound.InvalidResponseError{Kind: outbound.Truncated, Reason: "the answer was cut", Cause: errors.WithStack(err)}
	}
	if int64(body.Len()) > r.maxBytes {
		return nil, false, &outbound.InvalidResponseError{Kind: outbound.TooLarge, Reason: "the answer is larger than this node takes"}
	}
	return body.Bytes(), true, nil
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
// the event that ends the stream it returns io.EOF. If the stream ends in another way, or continues
// after that event, the error is an *outbound.InvalidResponseError. Next never returns a part of an
// event.
func (r *Response) Next() ([]byte, error) {
	if r.stream == nil {
		r.stream = bufio.NewReaderSize(r.response.Body, streamBufferBytes)
	}
	if r.ended {
		return nil, r.checkNothingFollows()
	}
	event, err := r.readEvent()
	if err != nil {
		return nil, err
	}
	r.ended = isStreamEnd(event)
	return event, nil
}

// readEvent reads up to and including the next blank line.
func (r *Response) readEvent() ([]byte, error) {
	var event []byte
	for {
		line, err := r.stream.ReadSlice('\n')
		event = append(event, line...)
		if int64(len(event)) > r.maxBytes {
			return nil, &outbound.InvalidResponseError{Kind: outbound.TooLarge, Reason: "an event of the answer is larger than this node takes"}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, &outbound.InvalidResponseError{Kind: outbound.Truncated, Reason: "the streamed answer was cut", Cause: unexpectedEOF(err)}
		}
		if bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n")) {
			return event, nil
		}
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
	if _, err := r.stream.ReadByte(); err == nil {
		return &outbound.InvalidResponseError{Kind: outbound.Surplus, Reason: "the streamed answer goes on after its end"}
	}
	return io.EOF
}

// isStreamEnd reports whether an event is the one that ends a stream.
func isStreamEnd(event []byte) bool {
	for _, line := range bytes.Split(event, []byte("\n")) {
		data, found := bytes.CutPrefix(bytes.TrimRight(line, "\r"), []byte("data:"))
		if found && string(bytes.TrimSpace(data)) == StreamEnd {
			return true
		}
	}
	return false
}

// LastEventID returns "", since the events of this protocol have no IDs.
func (r *Response) LastEventID() string {
	return ""
}
