package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Headers with the ground truth: lab clients set them on requests, and stand-ins
// on responses.
const (
	// HeaderTenant is the actual tenant of a request.
	HeaderTenant = "Lab-Tenant"
	// HeaderZone is the zone of the replica that fetches or pushes a chunk.
	HeaderZone = "Lab-Zone"
	// HeaderDigest is the hexadecimal SHA-256 digest of a response body.
	HeaderDigest = "Lab-Digest"
)

// EventDigest is the name of the server-sent event that carries a Digest.
const EventDigest = "digest"

// CompleteResponse is the body of a response that is not streamed.
type CompleteResponse struct {
	RequestID string `json:"request_id"`
	Output    string `json:"output"`
	Digest    string `json:"digest"`
}

// ChunkResponse is the data of one output event of a streamed response.
type ChunkResponse struct {
	RequestID string `json:"request_id"`
	Output    string `json:"output"`
}

// DigestResponse is the data of the digest event, which precedes the end event
// of a streamed response.
type DigestResponse struct {
	RequestID string `json:"request_id"`
	Digest    string `json:"digest"`
}

// Output returns the generated tokens from position first up to, but excluding,
// position end. The text depends only on the request ID and the positions.
func Output(requestID string, first, end uint32) string {
	const syllables = "kalomenirutavosipedagu"
	var text strings.Builder
	for position := first; position < end; position++ {
		seed := xxhash.Sum64String(requestID) + uint64(position)*0x9e3779b97f4a7c15
		for range 3 {
			at := 2 * (seed % (uint64(len(syllables)) / 2))
			text.WriteString(syllables[at : at+2])
			seed /= 31
		}
		text.WriteByte(' ')
	}
	return text.String()
}

// Digest returns the hexadecimal SHA-256 digest of a request ID and the complete
// output.
func Digest(requestID, output string) string {
	sum := sha256.Sum256([]byte(requestID + "\n" + output))
	return hex.EncodeToString(sum[:])
}

// NewCompleteResponse returns the response to a request with the given number of
// output tokens.
func NewCompleteResponse(requestID string, tokens uint32) CompleteResponse {
	output := Output(requestID, 0, tokens)
	return CompleteResponse{RequestID: requestID, Output: output, Digest: Digest(requestID, output)}
}

// CheckComplete returns an error if a body is not the complete response to a
// request.
func CheckComplete(requestID string, body []byte) error {
	var response CompleteResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return errors.Wrap(err, "response body is truncated or not a JSON response")
	}
	return check(requestID, response.RequestID, response.Output, response.Digest)
}

// StreamCheck reads the events of a streamed response and reports whether the
// response is complete and belongs to the request.
type StreamCheck struct {
	requestID string
	output    strings.Builder
	digest    string
	firstErr  error
	ended     bool
}

// NewStreamCheck returns a check of the streamed response to a request.
func NewStreamCheck(requestID string) *StreamCheck {
	return &StreamCheck{requestID: requestID}
}

// Event adds one server-sent event to the check. The name is empty for an output
// event and for the end event; events with an unknown name are ignored.
func (c *StreamCheck) Event(name, data string) {
	switch {
	case name == EventDigest:
		var digest DigestResponse
		c.decode(data, &digest)
		c.digest = digest.Digest
		c.checkRequestID(digest.RequestID)
	case name != "":
	case data == streamEnd:
		c.ended = true
	default:
		var chunk ChunkResponse
		c.decode(data, &chunk)
		c.output.WriteString(chunk.Output)
		c.checkRequestID(chunk.RequestID)
	}
}

// Ended reports whether the end event was received.
func (c *StreamCheck) Ended() bool { return c.ended }

// Err returns the first error found in the events, or an error if the end event
// is missing or the output does not match the digest.
func (c *StreamCheck) Err() error {
	if c.firstErr != nil {
		return c.firstErr
	}
	if !c.ended {
		return errors.New("stream ended without the end event")
	}
	return check(c.requestID, c.requestID, c.output.String(), c.digest)
}

func (c *StreamCheck) decode(data string, into any) {
	if err := json.Unmarshal([]byte(data), into); err != nil && c.firstErr == nil {
		c.firstErr = errors.Wrap(err, "decode event")
	}
}

func (c *StreamCheck) checkRequestID(requestID string) {
	if requestID != c.requestID && c.firstErr == nil {
		c.firstErr = errors.Errorf("received an event of request %q in the response to request %q", requestID, c.requestID)
	}
}

func check(expected, requestID, output, digest string) error {
	if requestID != expected {
		return errors.Errorf("received the response to request %q for request %q", requestID, expected)
	}
	if Digest(requestID, output) != digest {
		return errors.Errorf("output of the response to request %q does not match its digest", expected)
	}
	return nil
}
