package outbound

import (
	"io"

	"github.com/pkg/errors"
)

// relayBufferBytes bounds the bytes that one call of RelayReader.Next returns.
const relayBufferBytes = 8 << 10

// RelayReader reads the body of a response as it arrives. Only one goroutine may use it.
type RelayReader struct {
	body io.Reader
	// buffer holds the bytes that Next returned last; nil before its first call.
	buffer []byte
}

// NewRelayReader returns a reader of a body, or of the rest of one.
func NewRelayReader(body io.Reader) *RelayReader {
	return &RelayReader{body: body}
}

// Next returns the next bytes, which are valid until the next call, and a bare io.EOF after the
// complete end of the body. Any other error is an *InvalidResponseError.
func (r *RelayReader) Next() ([]byte, error) {
	if r.buffer == nil {
		r.buffer = make([]byte, relayBufferBytes)
	}
	for {
		count, err := r.body.Read(r.buffer)
		if count > 0 {
			return r.buffer[:count], nil
		}
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		if err != nil {
			return nil, TruncatedError(err)
		}
	}
}

// TruncatedError returns the error for a response that ended early.
func TruncatedError(cause error) error {
	return &InvalidResponseError{Kind: Truncated, Reason: "the answer was cut", Cause: errors.WithStack(cause)}
}
