// Package edges defines the interfaces between the data plane and the protocols that it
// speaks with callers and back ends, and implements them for the native protocols.
//
// The data plane does not depend on the headers or paths of a protocol: it passes an Attempt
// to a BackendEdge and gets a Response. The native protocols are those of internal/edge; a
// platform with its own protocols provides other implementations. All implementations must
// support concurrent use by many requests.
package edges

import (
	"context"
	"net/http"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// CallerEdge implements a protocol with callers.
type CallerEdge interface {
	// RequestID returns the identity that the caller assigned to its request, or "".
	RequestID(header http.Header) string
	// KeyDigest returns the digest of the request's key, or false if the request has
	// none.
	KeyDigest(header http.Header) (string, bool)
	// Describe parses the caller's headers. The error is a *caller.Error.
	Describe(request *http.Request) (caller.Request, error)
	// WriteError responds to a request with an error of this node.
	WriteError(writer http.ResponseWriter, callerError *caller.Error)
	// CompleteHeader adds this node's headers to those of a back end's response.
	CompleteHeader(header http.Header, requestID string)
	// ErrorEvent returns the event that reports an error in a truncated stream before the
	// connection is aborted; nil if the protocol has no such event.
	ErrorEvent(callerError *caller.Error) []byte
}

// BackendEdge runs attempts on back ends of one kind.
type BackendEdge interface {
	// Send runs one attempt up to the header of its response. It sends the request at
	// most once. The type of the error tells what is known about the request: an
	// *outbound.Error tells whether any part of it may have been sent, and an
	// *outbound.RefusedError that it has not run and will not run. After any other error,
	// such as an *outbound.InvalidResponseError or an *outbound.FailedResponseError, the
	// request may have run.
	Send(ctx context.Context, attempt Attempt) (Response, error)
}

// Set contains the implementations of the protocols that a node speaks with callers and back
// ends.
type Set struct {
	Callers CallerEdge
	// Replicas runs attempts on the replicas of pools, and WebServices runs attempts on the
	// back ends of web services.
	Replicas    BackendEdge
	WebServices BackendEdge
	// Reports reads the reports of replicas and stores page by page; nil if replicas and
	// stores push event streams of the native protocol instead.
	Reports ReportReader
}

// Attempt is one attempt to have a back end run a request.
type Attempt struct {
	// Address is the address of the back end.
	Address string
	// Instance identifies the incarnation of the back end that the attempt is meant for;
	// empty for any incarnation at the address.
	Instance string
	// RequestID is the identity of the request.
	RequestID string
	// AttemptID is unique among all attempts of all nodes.
	AttemptID string
	// Number counts the attempts of the request, from 1.
	Number int
	// Tenant is the name of the tenant whose key the request carried, or "".
	Tenant string
	// Remaining is the time left until the deadline; 0 if there is none.
	Remaining time.Duration
	// Priority is the priority of the request, from 0, the most urgent, to
	// routing.LowestPriority.
	Priority uint32
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// Streamed reports whether the caller wants a stream of events.
	Streamed bool
	// RequiresStream reports whether the route's requests are answered by streams of events, so
	// that any other success is invalid.
	RequiresStream bool
	// ResumeAfter is the ID of the last event that was relayed from an earlier attempt; the
	// stream must resume after that event. It is "" for a stream from the beginning.
	ResumeAfter string
	// Request is the caller's request. Its body has been read.
	Request *http.Request
	// Body is the complete body of the caller's request. All attempts share it, so it must
	// not be modified.
	Body []byte
	// Generation is set for the replicas of pools.
	Generation *Generation
}

// Generation describes a prompt to a replica.
type Generation struct {
	// Model is the pool's model.
	Model string
	// WeightVersion is the version that the cache salt is for.
	WeightVersion string
	// CacheSalt separates chunks that must not be shared: those of different weight versions
	// or different sharing domains.
	CacheSalt string
	// Chunks are the chunks of the prompt, in order.
	Chunks []prefixindex.Chunk
	// OutputTokens is the caller's limit on the generated tokens; 0 if the caller sets none.
	OutputTokens uint32
	// Pull describes the chunks to fetch; nil for none.
	Pull *Pull
	// SaveTo is the address of the store to save the chunks to, or "".
	SaveTo string
}

// Pull asks a replica to fetch chunks instead of computing them.
type Pull struct {
	// Source is the address to fetch from.
	Source string
	// FirstChunk and LastChunk are positions in the prompt, from 0.
	FirstChunk, LastChunk int
}

// Response is a back end's response whose header has arrived.
type Response interface {
	// Status returns the HTTP status.
	Status() int
	// Header returns the headers that are relayed.
	Header() http.Header
	// WeightVersion returns the weight version that produced the response, or "" if the
	// response does not name one.
	WeightVersion() string
	// Streamed reports whether the response is to be relayed as it arrives.
	Streamed() bool
	// ReadAll reads the response, or returns false with its beginning if it is too long
	// to be buffered.
	ReadAll() ([]byte, bool, error)
	// Next returns the next bytes to relay, and a bare io.EOF after a complete response.
	// For a stream whose events have IDs, it returns only complete events. The bytes are valid until the
	// next call.
	Next() ([]byte, error)
	// LastEventID returns the ID of the last event that Next returned, or "" if events have
	// no IDs.
	LastEventID() string
	// Close ends the response. If the response was not read to its end, Close cancels the
	// attempt, provided that the back end supports that.
	Close()
}

// ReportReader reads the reports of back ends about the prompt chunks that they cache, a page
// at a time. These reports identify chunks by the caller's IDs. The event streams of back ends
// that identify chunks by chain hashes are read by package feeds instead.
type ReportReader interface {
	// Read waits up to the given time for changes after a position. Position 0 starts with
	// the oldest change that the back end still has.
	Read(ctx context.Context, address string, since uint64, wait time.Duration) (ReportPage, error)
	// List returns all chunks that the back end caches. It delays the back end's work, so it
	// should be called only after changes were missed.
	List(ctx context.Context, address string) (ReportPage, error)
}

// ReportPage is one page of a back end's reports.
type ReportPage struct {
	// Incarnation changes when the back end restarts with an empty memory.
	Incarnation uint64
	// Next is the position after this page.
	Next uint64
	// Lost reports whether changes before this page are no longer available.
	Lost    bool
	Changes []ChunkChange
}

// ChunkChange reports a cached chunk, or an evicted one.
type ChunkChange struct {
	// Sequence numbers the changes of an incarnation; 0 in a list.
	Sequence uint64
	// Removed reports whether the chunk, or a part of it, was evicted.
	Removed   bool
	CacheSalt string
	Model     string
	// ID is the caller's ID of the chunk.
	ID string
	// Tokens is the number of tokens of the chunk that are still cached after the change.
	Tokens uint32
}
