package replica

// Paths of a replica's HTTP interface.
const (
	// PathGenerate runs one request.
	PathGenerate = "/v1/generate"
	// PathEvents streams cache events and reports as JSON lines. The query
	// parameter "after" names the last sequence number seen, and "incarnation" the
	// incarnation of the replica that it was seen in. Without "after", in another
	// incarnation, or when the replica no longer has what follows, the stream starts
	// with a reset that lists all cached chunks.
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
	// HeaderCacheSalt separates cached chunks by weight version and by tenants
	// that share.
	HeaderCacheSalt = "Cache-Salt"
	// HeaderPrefix lists the prompt's chunks in order: `id;tokens=N, id;tokens=N`.
	HeaderPrefix = "Prefix"
	// HeaderRequestID is the caller's identity of the request.
	HeaderRequestID = "Request-Id"
	// HeaderAttemptID is the node's identity of one attempt. The response echoes
	// it.
	HeaderAttemptID = "Attempt-Id"
	// HeaderAttempt is the number of the attempt, from 1.
	HeaderAttempt = "Attempt"
	// HeaderRepeatable, "true" or "false", reports whether the caller permits the
	// request to run more than once.
	HeaderRepeatable = "Repeatable"
	// HeaderOutputTokens bounds the generated tokens.
	HeaderOutputTokens = "Output-Tokens"
	// HeaderPullSource is the address that the replica is to pull chunks from.
	HeaderPullSource = "Pull-Source"
	// HeaderPullChunks is the range "first-last" of positions in Prefix to pull.
	HeaderPullChunks = "Pull-Parts"
	// HeaderWeightVersion, in a response, is the version that produced it.
	HeaderWeightVersion = "Weight-Version"
	// HeaderReusedTokens, in a response, counts the tokens that were not
	// computed again.
	HeaderReusedTokens = "Reused-Tokens"
	// HeaderNotRun, with the value "true" in a rejection, guarantees that the
	// request has not run and will not run.
	HeaderNotRun = "Not-Run"
)

// EventKind is what an Event reports.
type EventKind string

// The kinds of events.
const (
	// EventStored reports chunks that the replica has cached.
	EventStored EventKind = "stored"
	// EventRemoved reports chunks that the replica has evicted.
	EventRemoved EventKind = "removed"
	// EventReset means that Chunks are all that is cached; it resynchronizes after
	// lost events and follows a restart.
	EventReset EventKind = "reset"
	// EventReport carries a load report and has no sequence number.
	EventReport EventKind = "report"
)

// Event is one line of the event stream.
type Event struct {
	Kind EventKind `json:"kind"`
	// Incarnation changes when the replica restarts with an empty memory.
	Incarnation uint64 `json:"incarnation"`
	// Sequence numbers stored, removed and reset events of an incarnation
	// from 1. A gap means that events were lost.
	Sequence uint64  `json:"sequence,omitempty"`
	Chunks   []Chunk `json:"parts,omitempty"`
	Report   *Report `json:"report,omitempty"`
}

// Chunk is one cached chunk in an event.
type Chunk struct {
	// Hash is the chain hash in hexadecimal.
	Hash string `json:"hash"`
	// Parent is the chain hash of the chunk before it.
	Parent string `json:"parent,omitempty"`
	Tokens uint32 `json:"tokens,omitempty"`
}

// Report is a replica's own account of its state. It may be late.
type Report struct {
	Incarnation         uint64 `json:"incarnation"`
	WeightVersion       string `json:"weight_version"`
	ActiveRequests      uint32 `json:"active_requests"`
	ActivePrefillTokens uint64 `json:"active_prefill_tokens"`
	ActiveDecodeTokens  uint64 `json:"active_decode_tokens"`
	CachedTokens        uint64 `json:"kept_tokens"`
	CapacityTokens      uint64 `json:"capacity_tokens"`
	// LastSequence is the newest event sequence number at the time.
	LastSequence uint64 `json:"last_sequence"`
	// AgeMS is how old the report is when sent, in milliseconds.
	AgeMS uint64 `json:"age_ms"`
	// Warming means that the replica has started lately and is fragile.
	Warming bool `json:"warming,omitempty"`
}

// WeightsCommand orders a replica to load weights.
type WeightsCommand struct {
	WeightVersion string `json:"weight_version"`
	// Epoch is the fencing token of the command: a replica refuses one below the
	// highest that it has seen.
	Epoch uint64 `json:"epoch"`
	// Leader names the commanding node.
	Leader string `json:"holder"`
}

// StreamEnd is the data of the last event of a complete streamed response.
const StreamEnd = "[DONE]"
