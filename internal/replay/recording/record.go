package recording

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// Format is what a header line names.
	Format = "ridgeswitch-recording"
	// Version is the only version of the format so far.
	Version = 1
)

// Header is the first line of a recording. A file may hold several recordings
// one after the other, each with its header.
type Header struct {
	Format  string `json:"format"`
	Version int    `json:"version"`
	// Node is the node that wrote the recording.
	Node string `json:"node"`
	// Started is the wall clock time from which the records count.
	Started time.Time `json:"started"`
}

// NewHeader returns the header of a recording in the present version.
func NewHeader(node string, started time.Time) Header {
	return Header{Format: Format, Version: Version, Node: node, Started: started.UTC()}
}

// Outcome tells how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	// Completed is an answer that was handed on to its end.
	Completed Outcome = "answered"
	// Refused is a typed error in place of an answer.
	Refused Outcome = "refused"
	// Truncated is an answer that broke off, or a connection that did.
	Truncated Outcome = "cut"
	// Disconnected is a caller that went away before the end.
	Disconnected Outcome = "left"
)

// Chunk is one chunk of a prompt.
type Chunk struct {
	// ID is a digest of the chunk's name: see ChunkID.
	ID     string `json:"id"`
	Tokens uint32 `json:"tokens"`
}

// Record is one request.
type Record struct {
	// AtUS is when the request arrived, in microseconds since the header's
	// time.
	AtUS int64 `json:"at_us"`
	// Tenant is empty for the public.
	Tenant string `json:"tenant,omitempty"`
	Host   string `json:"host"`
	// Pool or WebService is the destination that the host leads to.
	Pool       string `json:"pool,omitempty"`
	WebService string `json:"web_service,omitempty"`
	// Model is the pool's model.
	Model  string  `json:"model,omitempty"`
	Chunks []Chunk `json:"parts,omitempty"`
	// OutputTokens is what the caller asked for; 0 if it did not say.
	OutputTokens uint32 `json:"output_tokens,omitempty"`
	Repeatable   bool   `json:"repeatable,omitempty"`
	Streamed     bool   `json:"streamed,omitempty"`
	// DeadlineMS is the caller's bound in milliseconds; 0 if it gave none.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`

	Outcome Outcome `json:"outcome"`
	// Problem is the kind of the error of a refused request.
	Problem string `json:"problem,omitempty"`
	// Status is the HTTP status; 0 if none was sent.
	Status int `json:"status,omitempty"`
	// Attempts counts the attempts on back ends.
	Attempts int `json:"attempts,omitempty"`
	// ReusedTokens are those of the prompt that the replica did not compute.
	ReusedTokens uint64 `json:"reused_tokens,omitempty"`
	// FirstUS and TotalUS are the times from the arrival to the first byte of
	// the answer and to its end, in microseconds. FirstUS is 0 without an answer.
	FirstUS int64 `json:"first_us,omitempty"`
	TotalUS int64 `json:"total_us"`
}

// Dropped is the line that a node writes when requests came faster than it
// could record them.
type Dropped struct {
	// Dropped counts the requests that are missing since the line before.
	Dropped int64 `json:"dropped"`
}

// chunkIDBytes is the number of bytes of a digest that name a chunk. Among a million chunks the
// chance that any two have one name is below one in ten million.
const chunkIDBytes = 8

// chunkIDDomain keeps the digests apart from those of other uses.
const chunkIDDomain = "ridgeswitch-recording-part\x00"

// ChunkID returns the name under which a chunk is recorded. Equal chunks have
// equal names in the recordings of all nodes, so that reuse can be replayed.
func ChunkID(id string) string {
	digest := sha256.Sum256([]byte(chunkIDDomain + id))
	return hex.EncodeToString(digest[:chunkIDBytes])
}

// Chunks returns the recorded form of a prompt.
func Chunks(chunks []prefixindex.Chunk) []Chunk {
	recorded := make([]Chunk, len(chunks))
	for position, chunk := range chunks {
		recorded[position] = Chunk{ID: ChunkID(chunk.ID), Tokens: chunk.Tokens}
	}
	return recorded
}

// PromptTokens returns the length of the prompt, in tokens.
func (r Record) PromptTokens() uint64 {
	var tokens uint64
	for _, chunk := range r.Chunks {
		tokens += uint64(chunk.Tokens)
	}
	return tokens
}

// Prompt returns the prompt as a request names it.
func (r Record) Prompt() []prefixindex.Chunk {
	prompt := make([]prefixindex.Chunk, len(r.Chunks))
	for position, chunk := range r.Chunks {
		prompt[position] = prefixindex.Chunk{ID: chunk.ID, Tokens: chunk.Tokens}
	}
	return prompt
}

// Destination names the pool or the web service of the request.
func (r Record) Destination() string {
	if r.Pool != "" {
		return r.Pool
	}
	return "web " + r.WebService
}
