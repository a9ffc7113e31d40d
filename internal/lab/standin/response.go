package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Headers by which callers in the lab tell the truth about a request, and
// stand-ins about an answer.
const (
	// HeaderTenant names the true tenant of a request.
	HeaderTenant = "Lab-Tenant"
	// HeaderZone names the zone of a machine that fetches a chunk.
	HeaderZone = "Lab-Zone"
	// HeaderDigest is the hexadecimal SHA-256 digest of an answer's body.
	HeaderDigest = "Lab-Digest"
)

// EventDigest is the name of the server-sent event that carries a Digest.
const EventDigest = "digest"

// CompleteResponse is the body of an answer in one piece.
type CompleteResponse struct {
	RequestID string `json:"request_id"`
	Output    string `json:"output"`
	Digest    string `json:"digest"`
}

// ChunkResponse is the data of one event of a streamed answer.
type ChunkResponse struct {
	RequestID string `json:"request_id"`
	Output    string `json:"output"`
}

// DigestResponse is the data of the digest event, which precedes the end of a
// streamed answer.
type DigestResponse struct {
	RequestID string `json:"request_id"`
	Digest    string `json:"digest"`
}

// Output returns the generated tokens from position first up to position end of
// a request's answer. It depends on the request alone.
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

// Digest names an answer: it covers the request's identity and the whole output.
func Digest(requestID, output string) string {
	sum := sha256.Sum256([]byte(requestID + "\n" + output))
	return hex.EncodeToString(sum[:])
}

// NewCompleteResponse returns the complete answer to a request.
func NewCompleteResponse(requestID string, tokens uint32) CompleteResponse {
	output := Output(requestID, 0, tokens)
	return CompleteResponse{RequestID: requestID, Output: output, Digest: Digest(requestID, output)}
}

// CheckComplete reports whether a body is the complete answer to a request.
func CheckComplete(requestID string, body []byte) error {
	var response CompleteResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return errors.Wrap(err, "answer is cut or no answer")
	}
	return check(requestID, response.RequestID, response.Output, response.Digest)
}

// StreamCheck follows a streamed answer and reports whether it came whole.
type StreamCheck struct {
	requestID string
	output    strings.Builder
	digest    string
	firstErr   error
	ended     bool
}

// NewStreamCheck returns a check of the answer to a request.
func NewStreamCheck(requestID string) *StreamCheck {
	return &StreamCheck{requestID: requestID}
}

// Event takes the name (empty for a plain one) and the data of one server-sent
// event.
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

// Ended reports whether the stream's last event has come.
func (c *StreamCheck) Ended() bool { return c.ended }

// Err returns what is wrong with a stream that looks complete, or nil.
func (c *StreamCheck) Err() error {
	if c.firstErr != nil {
		return c.firstErr
	}
	if !c.ended {
		return errors.New("stream ended without its last event")
	}
	return check(c.requestID, c.requestID, c.output.String(), c.digest)
}

func (c *StreamCheck) decode(data string, into any) {
	if err := json.Unmarshal([]byte(data), into); err != nil && c.firstErr == nil {
		c.firstErr = errors.Wrap(err, "event cannot be read")
	}
}

func (c *StreamCheck) checkRequestID(requestID string) {
	if requestID != c.requestID && c.firstErr == nil {
		c.firstErr = errors.Errorf("event of request %q in the answer to %q", requestID, c.requestID)
	}
}

func check(expected, requestID, output, digest string) error {
	if requestID != expected {
		return errors.Errorf("answer of request %q came to %q", requestID, expected)
	}
	if Digest(requestID, output) != digest {
		return errors.Errorf("answer to %q does not match its digest", expected)
	}
	return nil
}
