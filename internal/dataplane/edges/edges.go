// Package edges says what the data plane needs of the protocols that it speaks to callers
// and back ends, and implements the native ones.
//
// The data plane knows no header and no path of a protocol: it describes an Attempt to a
// BackendEdge, and gets a Response. The native protocols are those of internal/edge; a platform
// with protocols of its own gives others in their place. Implementations are used by many
// requests at a time.
package edges

import (
	"context"
	"net/http"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// CallerEdge speaks the protocol of callers.
type CallerEdge interface {
	// RequestID returns the identity that the caller gave its request, or "".
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
	// ErrorEvent returns what is written of an error into a truncated stream before its
	// connection is aborted; nil for nothing.
	ErrorEvent(callerError *caller.Error) []byte
}

// BackendEdge runs attempts on back ends of one kind.
type BackendEdge interface {
	// Send runs one attempt up to the header of its response. It sends the request at
	// most once. The error says what is known of the request: an *outbound.Error whether
	// any of it may have been sent, an *outbound.RefusedError that it has not run and will
	// not run. After any other one, such as an *outbound.InvalidResponseError or an
	// *outbound.FailedResponseError, it may have run.
	Send(ctx context.Context, attempt Attempt) (Response, error)
}

// Set is the protocols that a node speaks to callers and back ends.
type Set struct {
	Callers CallerEdge
	// Replicas runs attempts on the replicas of pools, and WebServices those on the back
	// ends of web services.
	Replicas    BackendEdge
	WebServices BackendEdge
	// Reports reads the reports of replicas and stores page by page; nil if they
	// push a stream of the node's own protocol.
	Reports ReportReader
}

// Attempt is one attempt to have a back end run a request.
type Attempt struct {
	// Address is where the attempt goes.
	Address string
	// Instance names the incarnation that the attempt is for; empty for any at the
	// address.
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
	// Priority is that of the request, from 0, the most urgent, to routing.LowestPriority.
	Priority uint32
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// Streamed reports whether the caller wants a stream of events.
	Streamed bool
	// ResumeAfter is the identity of the last event of an earlier attempt after which the
	// stream is to resume, or "".
	ResumeAfter string
	// Request is the caller's request. Its body has been read.
	Request *http.Request
	// Body is the caller's body, complete. It is the same for all attempts, and read only.
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
	// CacheSalt keeps chunks apart that must not be shared: those of other weights, and of
	// other sharing domains.
	CacheSalt string
	// Chunks are those of the prompt, in its order.
	Chunks []prefixindex.Chunk
	// OutputTokens is the caller's bound of the generated tokens; 0 if it gives none.
	OutputTokens uint32
	// Pull is nil if nothing is to be fetched.
	Pull *Pull
	// SaveTo is the address of the store that the chunks are to be saved to, or "".
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
	// WeightVersion returns the version that produced the response, or "".
	WeightVersion() string
	// Streamed reports whether the response is to be relayed as it arrives.
	Streamed() bool
	// ReadAll reads the response, or returns false with its beginning if it is too long
	// to be buffered.
	ReadAll() ([]byte, bool, error)
	// Next returns the next bytes to relay, and a bare io.EOF after a complete response.
	// Of a stream of events it returns complete events. The bytes are valid until the
	// next call.
	Next() ([]byte, error)
	// LastEventID returns the identity of the last event that Next returned, or
	// "" if events have none.
	LastEventID() string
	// Close ends the response. Unless it was read to its end, this cancels the attempt,
	// as far as the back end listens.
	Close()
}

// ReportReader reads what back ends report of the prompt chunks that they cache under
// their own names, a page at a time. Back ends that push a stream of chained names are
// followed by package feeds instead.
type ReportReader interface {
	// Read waits up to the given time for changes after a position; the zero position
	// starts with the oldest that the back end still has.
	Read(ctx context.Context, address string, since uint64, wait time.Duration) (ReportPage, error)
	// List returns everything that the back end caches. It delays the back end's work,
	// and is for gaps that matter.
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
	// ID is the caller's name of the chunk.
	ID string
	// Tokens is how much of the chunk is cached now.
	Tokens uint32
}
