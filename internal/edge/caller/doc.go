// Package caller implements the native protocol with callers: HTTP/1.1 with JSON errors. It
// parses the headers of requests and writes errors; the data plane does the rest. All header
// names and JSON shapes of the protocol are declared here. docs/CALLERS.md documents them for
// callers.
//
// The package has no state. All functions may be called concurrently.
package caller

// Headers of a caller's request and of its response.
const (
	// HeaderAuthorization carries "Bearer KEY".
	HeaderAuthorization = "Authorization"
	// HeaderModel names the model. If it is missing, the pool's model is used.
	HeaderModel = "Model"
	// HeaderPrefix lists the prompt's chunks in order: `id;tokens=N, id;tokens=N`.
	HeaderPrefix = "Prefix"
	// HeaderRequestID is the ID of the request. If it is missing, the node generates
	// one. The response echoes the ID.
	HeaderRequestID = "Request-Id"
	// HeaderRepeatable is "true" if the request may run more than once.
	HeaderRepeatable = "Repeatable"
	// HeaderDeadline is the longest time that the caller waits for the response, in
	// milliseconds.
	HeaderDeadline = "Deadline-Ms"
	// HeaderOutputTokens bounds the generated tokens.
	HeaderOutputTokens = "Output-Tokens"
	// HeaderAccept requests a streamed response if it lists "text/event-stream".
	HeaderAccept = "Accept"
	// HeaderRetryAfter, in a rejection, is the time to retry after, in seconds.
	HeaderRetryAfter = "Retry-After"
	// PassThroughPrefix is the prefix of headers that are forwarded unchanged in both
	// directions.
	PassThroughPrefix = "Lab-"
	// StreamType is the media type of a streamed response.
	StreamType = "text/event-stream"
)

// Limits on what a caller may send.
const (
	// MaxRequestIDBytes bounds Request-Id.
	MaxRequestIDBytes = 256
	// MaxChunks bounds the chunks of one prompt.
	MaxChunks = 4096
	// MaxChunkIDBytes bounds the ID of one chunk.
	MaxChunkIDBytes = 256
	// MaxChunkTokens bounds the tokens of one chunk.
	MaxChunkTokens = 1 << 24
	// MaxPromptTokens bounds the tokens of a prompt.
	MaxPromptTokens = 1 << 27
	// MaxOutputTokens bounds the generated tokens that a caller may request.
	MaxOutputTokens = 1 << 24
	// MaxDeadlineMilliseconds bounds the deadline that a caller may request.
	MaxDeadlineMilliseconds = 24 * 60 * 60 * 1000
)
