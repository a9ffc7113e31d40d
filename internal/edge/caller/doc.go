// Package caller speaks the product's own protocol with callers: HTTP/1.1 with JSON
// errors. It parses the headers of requests and writes errors; the data plane does the
// rest. All header names and JSON shapes of the protocol are declared here and used
// nowhere else. docs/CALLERS.md describes them to callers.
//
// The package keeps no state. All functions may be called concurrently.
package caller

// Headers of a caller's request and of its response.
const (
	// HeaderAuthorization carries "Bearer KEY".
	HeaderAuthorization = "Authorization"
	// HeaderModel names the model; the pool's model when it is missing.
	HeaderModel = "Model"
	// HeaderPrefix lists the prompt's chunks in order: `id;tokens=N, id;tokens=N`.
	HeaderPrefix = "Prefix"
	// HeaderRequestID identifies the request; the node makes one when it is
	// missing. The response echoes it.
	HeaderRequestID = "Request-Id"
	// HeaderRepeatable is "true" if the request may run more than once.
	HeaderRepeatable = "Repeatable"
	// HeaderDeadline is the longest time that the caller waits, in
	// milliseconds.
	HeaderDeadline = "Deadline-Ms"
	// HeaderOutputTokens bounds the generated tokens.
	HeaderOutputTokens = "Output-Tokens"
	// HeaderAccept asks for a streamed response with "text/event-stream".
	HeaderAccept = "Accept"
	// HeaderRetryAfter, in a rejection, is the time to retry after, in seconds.
	HeaderRetryAfter = "Retry-After"
	// PassThroughPrefix begins the headers that pass untouched both ways.
	PassThroughPrefix = "Lab-"
	// StreamType is the media type of a streamed response.
	StreamType = "text/event-stream"
)

// Bounds of what a caller may send.
const (
	// MaxRequestIDBytes bounds Request-Id.
	MaxRequestIDBytes = 256
	// MaxChunks bounds the chunks of one prompt.
	MaxChunks = 4096
	// MaxChunkIDBytes bounds the ID of one chunk.
	MaxChunkIDBytes = 256
	// MaxChunkTokens bounds the length of one chunk.
	MaxChunkTokens = 1 << 24
	// MaxPromptTokens bounds the length of a prompt.
	MaxPromptTokens = 1 << 27
	// MaxOutputTokens bounds the generated tokens that a caller may request.
	MaxOutputTokens = 1 << 24
	// MaxDeadlineMilliseconds bounds the deadline that a caller may request.
	MaxDeadlineMilliseconds = 24 * 60 * 60 * 1000
)
