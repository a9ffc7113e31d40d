package kvrouter

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/speed"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Candidate is a replica that a request may go to.
type Candidate struct {
	Address       string
	Zone          string
	Region        string
	WeightVersion string
	// Instance identifies the replica's process, or is "" when the caller can't tell. In
	// pools with an engine profile a change discards what was true of the former process;
	// in others only the incarnations in reports tell of a restart.
	Instance string
	// SlowStartUntil is when the replica's slow start ends, on the router's clock; 0
	// when it is not in slow start. The block cost model has a slow start of its own.
	SlowStartUntil time.Duration
}

// Request is a request as selection sees it.
type Request struct {
	Now   time.Duration
	Model string
	// Chunks is the prompt.
	Chunks []prefixindex.Chunk
	// Naming says how the pool's replicas name chunks.
	Naming Naming
	// OutputTokens bounds the tokens that will be generated.
	OutputTokens uint32
	// SaltFor returns the cache salt of the request under a weight version.
	SaltFor  func(weightVersion string) string
	Settings Settings
	// Engine says how the pool's replicas run requests; nil makes the router
	// count blocks only.
	Engine *EngineProfile
	// Zone is the zone that the request comes from; "" when zones are all one.
	Zone string
	// BodyBytes is the size of what is sent to the replica.
	BodyBytes int
	// Priority is the rank at the replica; 0 is the most urgent.
	Priority uint8
	// MaxWait is the longest time to the first event at which the request may go
	// to a replica that is full, if all are. With 0 it is refused.
	MaxWait time.Duration
	// Session says that the last chunk of the prompt is its session's, which later
	// requests send again.
	Session bool
	// SlowStartAllowed reports whether one more request may go to a replica in slow
	// start. It must not count the request, which may go elsewhere. With nil none may.
	// The router's lock is held meanwhile, as for Exclude.
	SlowStartAllowed func(address string) bool
	// Store is the address of the pool's store, or "".
	Store string
	// StoreZone is the zone of the store.
	StoreZone   string
	StoreRegion string
	// Exclude tells which candidates the request must not go to, such as those
	// that it failed on. May be nil.
	Exclude func(address string) bool
	// Random draws when the temperature is above 0; nil selects the lowest
	// cost at any temperature.
	Random *rand.Rand

	// Select sets the fields below.

	// promptTokens counts the tokens of all chunks.
	promptTokens uint32
	// latency is that of the model's replicas, when there is an engine profile.
	latency *speed.Latency
	// harmWeight is Settings.HarmWeight adjusted to the present backlog.
	harmWeight float64
}

// excludes reports whether the request must not go to a candidate.
func (req *Request) excludes(address string) bool {
	return req.Exclude != nil && req.Exclude(address)
}

// salt returns the cache salt under a weight version. Without SaltFor the
// version itself is the salt, so that versions are kept apart in any case.
func (req *Request) salt(version string) string {
	if req.SaltFor == nil {
		return version
	}
	return req.SaltFor(version)
}

// countTokens counts the tokens of the prompt. The count saturates instead of
// wrapping around.
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
	// Instance is that of the candidate.
	Instance      string
	WeightVersion string
	CacheSalt     string
	// OverlapTokens counts the tokens that the replica probably caches.
	OverlapTokens uint32
	// PromptTokens counts all tokens of the prompt.
	PromptTokens uint32
	// Cost is the cost of the replica, in blocks.
	Cost float64
	// Pull is what the replica is to pull, or nil.
	Pull *Pull
	// Save tells the replica to save the prompt's chunks to the store.
	Save bool
	// Wait is what to wait for before the request is sent, or nil.
	Wait *PrefixWait
	// ExpectedDelay is the estimated time to the first event; 0 without an
	// engine profile.
	ExpectedDelay time.Duration
	// Reservation accounts for the load; Finish must be called on it.
	Reservation *Reservation
}

// Pull tells a replica to fetch chunks instead of computing them.
type Pull struct {
	// Source is the address of a peer or of the store.
	Source string
	// FirstChunk and LastChunk are positions in the prompt, from 0, inclusive.
	FirstChunk int
	LastChunk  int
	// Tokens counts the tokens of the chunks.
	Tokens        uint32
	EstimatedTime time.Duration
}

// Report is what a replica reports of its state.
type Report struct {
	// ActivePrefillTokens counts prompt tokens of accepted requests that are
	// still to be computed.
	ActivePrefillTokens uint64
	// ActiveDecodeTokens counts the tokens, prompt and generated, that the
	// accepted requests occupy in memory.
	ActiveDecodeTokens uint64
	ActiveRequests     uint32
	WeightVersion      string
	Incarnation        uint64
	// Age is how long ago the report described the replica.
	Age time.Duration
	// LastSequence is the newest event sequence number at that time, or 0 when the
	// replica didn't state it.
	LastSequence uint64
	// Waiting and Running count the replica's requests, and MemoryUsed and
	// MemoryTotal tokens; a report with MemoryTotal counts instead of the active
	// tokens and requests above.
	Waiting, Running        uint32
	MemoryUsed, MemoryTotal uint64
	// Warming says that the replica started lately and is warming up.
	Warming bool
}
