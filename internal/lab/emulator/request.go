package emulator

import (
	"fmt"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Handle names one accepted attempt within a replica.
type Handle uint64

// Request is one attempt as it reaches a replica.
type Request struct {
	RequestID string
	AttemptID string
	// Attempt is the number of the attempt, from 1.
	Attempt int
	// Tenant is the true tenant.
	Tenant     string
	Repeatable string
	Model      string
	CacheSalt  string
	Chunks     []prefixindex.Chunk
	// OutputTokens is how many tokens are generated, at least 1.
	OutputTokens uint32
	// ChunkTokens asks for a notice each time so many tokens are out; 0 asks for
	// none.
	ChunkTokens uint32
	// AwaitPull holds the request back from prefill until PullDone is called.
	AwaitPull bool
}

// RefusalReason tells why a replica did not take a request.
type RefusalReason string

// The reasons of refusals.
const (
	RefusedBusy     RefusalReason = "busy"
	RefusedWarming  RefusalReason = "warming"
	RefusedDraining RefusalReason = "draining"
	RefusedLoading  RefusalReason = "loading_weights"
	RefusedDown     RefusalReason = "down"
)

// RefusedError is the error of a request that has not run and will not run.
type RefusedError struct {
	Reason RefusalReason
}

// Error names the reason and what to do.
func (r *RefusedError) Error() string {
	return fmt.Sprintf("replica refused the request (%s); send it to another replica", r.Reason)
}

// NoticeKind tells what happened to an attempt.
type NoticeKind int

// The kinds of notices.
const (
	// NoticeFirstToken comes when prefill is done.
	NoticeFirstToken NoticeKind = iota + 1
	// NoticeChunk comes when a further chunk of tokens is out.
	NoticeChunk
	// NoticeFinished comes when the last token is out.
	NoticeFinished
	// NoticeCrashed comes when the replica lost the attempt.
	NoticeCrashed
)

// Notice tells the driver of a replica what happened to an attempt.
type Notice struct {
	Kind   NoticeKind
	Handle Handle
	At     time.Duration
	// Tokens is the number of tokens generated so far.
	Tokens uint32
	// ReusedTokens and WeightVersion are known from the first token on.
	ReusedTokens  uint64
	WeightVersion string
}

// Outcome is the true end of an attempt.
type Outcome string

// The outcomes of attempts.
const (
	OutcomeRunning   Outcome = "running"
	OutcomeCompleted Outcome = "completed"
	// OutcomeCancelled is an attempt that was stopped while it ran.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeCancelledBeforeStart is an attempt that left the queue without
	// having run.
	OutcomeCancelledBeforeStart Outcome = "cancelled_before_start"
	OutcomeCrashed              Outcome = "crashed"
	OutcomeRefused              Outcome = "refused"
)

// ReusedChunk is a chunk that an attempt did not compute, with its maker.
type ReusedChunk struct {
	Hash          string `json:"hash"`
	Tokens        uint32 `json:"tokens"`
	Tenant        string `json:"tenant"`
	WeightVersion string `json:"weight_version"`
}

// Execution is the ground truth about one attempt.
type Execution struct {
	// Handle is the attempt's; 0 for a refused one.
	Handle    Handle
	Request   Request
	Outcome   Outcome
	Refusal   RefusalReason
	ArrivedAt time.Duration
	// Started reports whether any of the request has run; StartedAt is when.
	Started    bool
	StartedAt  time.Duration
	FinishedAt time.Duration
	// FirstTokenAt is zero until prefill is done.
	FirstTokenAt    time.Duration
	PrefilledTokens uint64
	ReusedTokens    uint64
	Reused          []ReusedChunk
	// WeightVersion is the version at the start, FinalWeightVersion at the end.
	WeightVersion      string
	FinalWeightVersion string
}

// MixedReuse returns the reused chunks that another weight version made, or that
// another tenant made while walled says that either of the two is walled.
func (e *Execution) MixedReuse(walled func(tenant string) bool) []ReusedChunk {
	var mixed []ReusedChunk
	for _, chunk := range e.Reused {
		otherVersion := chunk.WeightVersion != e.WeightVersion
		otherTenant := chunk.Tenant != e.Request.Tenant
		if otherVersion || otherTenant && (walled(chunk.Tenant) || walled(e.Request.Tenant)) {
			mixed = append(mixed, chunk)
		}
	}
	return mixed
}
