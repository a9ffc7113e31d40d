package kvrouter

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/speed"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Candidate is a replica that a request may be sent to.
type Candidate struct {
	Address       string
	Zone          string
	Region        string
	WeightVersion string
	// Instance identifies the replica's process, or is "" if the caller does not know it.
	// In pools with an engine profile, a changed instance discards the state that belonged
	// to the former process; in other pools, restarts are detected only by the incarnations
	// in reports.
	Instance string
	// SlowStartUntil is the time on the router's clock at which the replica's slow start
	// ends, or 0 if it is not in slow start. The block cost model ignores it and has a slow
	// start of its own.
	SlowStartUntil time.Duration
}

// Request is the input of a selection.
type Request struct {
	// Now is the current time on the router's clock.
	Now   time.Duration
	Model string
	// Chunks is the prompt.
	Chunks []prefixindex.Chunk
	// Naming is how the pool's replicas identify chunks.
	Naming Naming
	// OutputTokens is the largest number of tokens that will be generated.
	OutputTokens uint32
	// SaltFor returns the cache salt of the request under a weight version.
	SaltFor  func(weightVersion string) string
	Settings Settings
	// Engine describes the engine of the pool's replicas; nil selects the block cost
	// model.
	Engine *EngineProfile
	// Zone is the zone that the request comes from; "" disables the price of other zones.
	Zone string
	// BodyBytes is the size of the request body that is sent to the replica.
	BodyBytes int
	// Priority is the request's priority at the replica; 0 is the most urgent.
	Priority uint8
	// MaxWait applies when all replicas are full: the request may then be sent only to
	// those whose estimated time to the first event is at most MaxWait. With 0 it is
	// refused. A MaxWait above 0 also bounds a PrefixWait.
	MaxWait time.Duration
	// Session reports whether the last chunk of the prompt belongs to a session, so that
	// later requests of the session send it again.
	Session bool
	// SlowStartAllowed reports whether one more request may be sent to a replica in slow
	// start. It must not count the request as sent, since another replica may be selected.
	// If it is nil, no request is sent to a replica in slow start. SlowStartAllowed and
	// Exclude are called with the router's lock held and must not call the router.
	SlowStartAllowed func(address string) bool
	// Store is the address of the pool's store, or "" if it has none.
	Store string
	// StoreZone is the zone of the store.
	StoreZone   string
	StoreRegion string
	// Exclude reports whether the request must not be sent to a candidate, for example
	// because an earlier attempt failed there. It may be nil.
	Exclude func(address string) bool
	// Random is the source for sampling at a temperature above 0. If it is nil, the
	// candidate with the lowest cost is selected at any temperature.
	Random *rand.Rand

	// Select sets the fields below.

	// promptTokens is the number of tokens of all chunks.
	promptTokens uint32
	// latency is the learned latency of the model's replicas. The time cost model sets it.
	latency *speed.Latency
	// harmWeight is Settings.HarmWeight adjusted to the present backlog of the replicas.
	// The time cost model sets it.
	harmWeight float64
}

// excludes reports whether the request must not be sent to a candidate.
func (req *Request) excludes(address string) bool {
	return req.Exclude != nil && req.Exclude(address)
}

// salt returns the cache salt under a weight version. Without SaltFor the version itself is
// the salt, so that chunks of different versions never share a hash.
func (req *Request) salt(version string) string {
	if req.SaltFor == nil {
		return version
	}
	return req.SaltFor(version)
}

// countTokens sets promptTokens. The count saturates instead of wrapping around.
func (req *Request) countTokens() {
	tokens := uint64(0)
	for _, chunk := range req.Chunks {
		tokens += uint64(chunk.Tokens)
	}
	req.promptTokens = uint32(min(tokens, math.MaxUint32))
}

// Decision is the outcome of a selection.
type Decision struct {
	Address string
	// Instance is the Instance of the selected candidate.
	Instance      string
	WeightVersion string
	CacheSalt     string
	// OverlapTokens is the number of leading prompt tokens that the replica probably
	// caches when the request arrives, after the Wait if there is one.
	OverlapTokens uint32
	// PromptTokens is the number of tokens of the whole prompt.
	PromptTokens uint32
	// Cost is the cost of the replica, in blocks.
	Cost float64
	// Pull is the transfer that the replica is to make, or nil.
	Pull *Pull
	// Save reports whether the replica is to save the prompt's chunks to the store.
	Save bool
	// Wait, if not nil, must be done before the request is sent.
	Wait *PrefixWait
	// ExpectedDelay is the estimated time to the first event; 0 without an
	// engine profile.
	ExpectedDelay time.Duration
	// Reservation accounts for the request's load. The caller must end it with Finish or
	// Cancelled.
	Reservation *Reservation
}

// Pull instructs a replica to fetch chunks instead of computing them.
type Pull struct {
	// Source is the address of a peer or of the store.
	Source string
	// FirstChunk and LastChunk are zero-based positions in the prompt, both inclusive.
	FirstChunk int
	LastChunk  int
	// Tokens is the number of leading prompt tokens that the source caches beyond those that
	// the replica caches.
	Tokens        uint32
	EstimatedTime time.Duration
}

// Report is a load report of a replica.
type Report struct {
	// ActivePrefillTokens is the number of prompt tokens of accepted requests that are not
	// computed yet.
	ActivePrefillTokens uint64
	// ActiveDecodeTokens is the number of tokens, prompt and generated, that the accepted
	// requests occupy in memory.
	ActiveDecodeTokens uint64
	ActiveRequests     uint32
	WeightVersion      string
	Incarnation        uint64
	// Age is the time that has passed since the replica was in the reported state.
	Age time.Duration
	// LastSequence is the newest event sequence number in that state, or 0 if the replica
	// did not report it.
	LastSequence uint64
	// Waiting and Running are numbers of requests; MemoryUsed and MemoryTotal are numbers
	// of tokens. If MemoryTotal is above 0, these four replace the active tokens and
	// requests above.
	Waiting, Running        uint32
	MemoryUsed, MemoryTotal uint64
	// Warming reports whether the replica started recently and is still warming up.
	Warming bool
}
