package replica

// Paths of a replica's HTTP interface.
const (
	// PathGenerate runs one request.
	PathGenerate = "/v1/generate"
	// PathEvents streams cache events and reports as JSON lines. The query parameter "after"
	// is the last sequence number seen, and "incarnation" the incarnation of the replica in
	// which it was seen. Without "after", in another incarnation, or if the replica no longer
	// has the events that follow, the stream starts with a reset event that lists all cached
	// chunks.
	PathEvents = "/v1/events"
	// PathReport returns the current Report.
	PathReport = "/v1/report"
	// PathWeights accepts a WeightsCommand.
	PathWeights = "/v1/weights"
	// PathChunks serves a cached chunk to a peer: "/v1/parts/<chain hash in hex>".
	PathChunks = "/v1/parts/"
)

// Headers of a generate request and its response.
const (
	// HeaderModel names the model.
	HeaderModel = "Model"
	// HeaderCacheSalt is the CacheSalt of the request. Requests share cached chunks only
	// if their salts are equal.
	HeaderCacheSalt = "Cache-Salt"
	// HeaderPrefix lists the prompt's chunks in order: `id;tokens=N, id;tokens=N`.
	HeaderPrefix = "Prefix"
	// HeaderRequestID is the ID of the caller's request.
	HeaderRequestID = "Request-Id"
	// HeaderAttemptID is the ID that the node gave the attempt. The response echoes it.
	HeaderAttemptID = "Attempt-Id"
	// HeaderAttempt is the number of the attempt, from 1.
	HeaderAttempt = "Attempt"
	// HeaderRepeatable, "true" or "false", reports whether the caller permits the
	// request to run more than once.
	HeaderRepeatable = "Repeatable"
	// HeaderOutputTokens bounds the generated tokens.
	HeaderOutputTokens = "Output-Tokens"
	// HeaderPullSource is the address from which the replica is to pull chunks.
	HeaderPullSource = "Pull-Source"
	// HeaderPullChunks is the range "first-last" of positions in Prefix to pull.
	HeaderPullChunks = "Pull-Parts"
	// HeaderWeightVersion, in a response, is the weight version that produced it.
	HeaderWeightVersion = "Weight-Version"
	// HeaderReusedTokens, in a response, is the number of prompt tokens that were taken from
	// cached chunks instead of being computed again.
	HeaderReusedTokens = "Reused-Tokens"
	// HeaderNotRun, with the value "true" in a rejection, guarantees that the
	// request has not run and will not run.
	HeaderNotRun = "Not-Run"
)

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	// EventStored reports chunks that the replica has cached.
	EventStored EventKind = "stored"
	// EventRemoved reports chunks that the replica has evicted.
	EventRemoved EventKind = "removed"
	// EventReset means that Chunks lists all cached chunks. It resynchronizes the reader
	// after lost events and after a restart of the replica.
	EventReset EventKind = "reset"
	// EventReport carries a load report and has no sequence number.
	EventReport EventKind = "report"
)

// Event is one line of the event stream.
type Event struct {
	Kind EventKind `json:"kind"`
	// Incarnation changes when the replica restarts with an empty cache.
	Incarnation uint64 `json:"incarnation"`
	// Sequence is the number of a stored, removed or reset event within its incarnation,
	// from 1. A gap means that events were lost.
	Sequence uint64  `json:"sequence,omitempty"`
	Chunks   []Chunk `json:"parts,omitempty"`
	Report   *Report `json:"report,omitempty"`
}

// Chunk is one cached chunk in an event.
type Chunk struct {
	// Hash is the chain hash in hexadecimal.
	Hash string `json:"hash"`
	// Parent is the chain hash of the preceding chunk of the prompt.
	Parent string `json:"parent,omitempty"`
	Tokens uint32 `json:"tokens,omitempty"`
}

// Report is the state of a replica as the replica reports it. It may be outdated.
type Report struct {
	Incarnation         uint64 `json:"incarnation"`
	WeightVersion       string `json:"weight_version"`
	ActiveRequests      uint32 `json:"active_requests"`
	ActivePrefillTokens uint64 `json:"active_prefill_tokens"`
	ActiveDecodeTokens  uint64 `json:"active_decode_tokens"`
	CachedTokens        uint64 `json:"kept_tokens"`
	CapacityTokens      uint64 `json:"capacity_tokens"`
	// LastSequence is the newest event sequence number at the time of the report.
	LastSequence uint64 `json:"last_sequence"`
	// AgeMS is the age of the report when it is sent, in milliseconds.
	AgeMS uint64 `json:"age_ms"`
	// Warming means that the replica has started recently and tolerates little load.
	Warming bool `json:"warming,omitempty"`
}

// WeightsCommand commands a replica to load weights.
type WeightsCommand struct {
	WeightVersion string `json:"weight_version"`
	// Epoch is the fencing token of the command. A replica rejects a command whose token is
	// below the highest that it has seen.
	Epoch uint64 `json:"epoch"`
	// Leader names the commanding node.
	Leader string `json:"holder"`
}

// StreamEnd is the data of the last event of a complete streamed response.
const StreamEnd = "[DONE]"
