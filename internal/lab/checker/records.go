package checker

import "time"

// Records holds everything that was observed during one run.
type Records struct {
	// Tenants as they were before the first order.
	Tenants    []Tenant
	Requests   []Request
	Executions []Execution
	Commands   []Command
	Orders     []Order
	Nodes      []NodeRun
	Served     []ServedSample
	Listings   []EndpointSample
	Versions   []VersionSample
	// Calm are the spans without a fault and without a change by an operator.
	Calm []Span
	// End is when recording stopped.
	End time.Duration
}

// Tenant is a tenant before the first order.
type Tenant struct {
	Name   string
	Walled bool
}

// Span is the time from From, included, to To, excluded.
type Span struct {
	From time.Duration
	To   time.Duration
}

// Result is how a request ended for its caller.
type Result string

// The ways a request ends.
const (
	// ResultComplete is a response that looks complete to the caller.
	ResultComplete Result = "complete"
	// ResultTruncated is an answer that ended early, as the caller could see.
	ResultTruncated Result = "cut"
	// ResultRefused is a typed error in place of an answer.
	ResultRefused Result = "refused"
	// ResultLost is a connection that failed before any answer.
	ResultLost Result = "lost"
	// ResultDisconnected is a request whose caller disconnected on purpose.
	ResultDisconnected Result = "left"
)

// RunClaim is what a refusal said about the request's execution.
type RunClaim string

// The claims of a refusal.
const (
	// ClaimNone is no claim at all.
	ClaimNone RunClaim = ""
	// ClaimNotRun says that the request has not run and will not run.
	ClaimNotRun RunClaim = "not_run"
	// ClaimMayHaveRun says that the outcome is unknown.
	ClaimMayHaveRun RunClaim = "may_have_run"
)

// Request is one request as its caller saw it.
type Request struct {
	ID string
	// Node that the request was sent to.
	Node   string
	Tenant string
	// Key is the name of the tenant's key.
	Key        string
	Service    string
	Repeatable bool
	Streamed   bool
	Sent       time.Duration
	FirstByte  time.Duration
	Ended      time.Duration
	// Status is the HTTP status, 0 without an answer.
	Status    int
	Result    Result
	ErrorKind string
	Claim     RunClaim
	// RetryAfter is the time to wait before a retry that the refusal named.
	RetryAfter time.Duration
	// EchoID is the request identity inside the answer.
	EchoID string
	// DigestMatches reports whether the received bytes have the digest that the
	// answer names.
	DigestMatches bool
	// Follows is the refused request that this one repeats under a new
	// identity; empty for the first.
	Follows string
}

// Execution is one attempt as a back end recorded it.
type Execution struct {
	RequestID string
	AttemptID string
	// Attempt counts from 1.
	Attempt int
	Service string
	Replica string
	Zone    string
	// Arrived is when the attempt reached the back end, after all admission checks.
	Arrived time.Duration
	// Refused is set if the back end did not and will not run the attempt.
	Refused bool
	Ended   time.Duration
	Tenant  string
	// WeightVersion is the version at the start, FinalVersion at the end.
	WeightVersion string
	FinalVersion  string
	PromptTokens  uint64
	ReusedTokens  uint64
	Reused        []Reuse
}

// Reuse is a cached chunk that an execution reused, with the tenant and the weight
// version that actually produced the chunk, whatever its cache salt says.
type Reuse struct {
	Chunk         string `json:"Part"`
	Tenant        string
	WeightVersion string
}

// Command is a command to a replica, as the replica received it.
type Command struct {
	Replica       string
	Sender        string `json:"Holder"`
	Epoch         uint64
	WeightVersion string
	At            time.Duration
	Accepted      bool
}

// ChangeKind is what an order changes.
type ChangeKind string

// The kinds of change.
const (
	ChangeApply    ChangeKind = "apply"
	ChangeAddKey   ChangeKind = "add_key"
	ChangeRevoke   ChangeKind = "revoke_key"
	ChangeWall     ChangeKind = "wall"
	ChangeUnwall   ChangeKind = "unwall"
	ChangeEvacuate ChangeKind = "evacuate"
	ChangeRestore  ChangeKind = "restore"
	ChangeWeights  ChangeKind = "weights"
)

// Change is what an order asks for. Fields that a kind does not use are empty.
type Change struct {
	Kind          ChangeKind
	Tenant        string
	Key           string
	Zone          string
	Pool          string
	WeightVersion string
}

// Outcome is how one submission of an order ended.
type Outcome string

// The outcomes of a submission.
const (
	// OutcomeAcknowledged says that the change is in force everywhere.
	OutcomeAcknowledged Outcome = "acknowledged"
	// OutcomePending says that the change may take effect.
	OutcomePending Outcome = "pending"
	// OutcomeRefused is final: the change was rejected.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnavailable is not final: no node could decide at that time.
	OutcomeUnavailable Outcome = "unavailable"
	// OutcomeLost is a submission without an answer.
	OutcomeLost Outcome = "lost"
)

// Order is one submission of an operator's order. A resend is a further Order
// with the same OrderID.
type Order struct {
	OrderID      string
	Node         string
	BaseRevision uint64
	Change       Change
	// Invalid is set if the content breaks a rule of the configuration.
	Invalid  bool
	Sent     time.Duration
	Answered time.Duration
	Outcome  Outcome
	Revision uint64
	// ProblemKind is the typed kind of a refusal.
	ProblemKind string
}

// NodeRun is one run of a node's process.
type NodeRun struct {
	Node string
	Span
	// Ended is set if the process ended at Span.To; otherwise it still ran when
	// recording stopped.
	Ended bool
}

// ServedSample is the state that a node reported at one moment.
type ServedSample struct {
	Node     string
	At       time.Duration
	Revision uint64
	Fenced   bool
}

// EndpointSample is one entry of the platform's list from At on, as the list showed
// it.
type EndpointSample struct {
	Service  string
	Replica  string
	Zone     string
	Draining bool
	// Removed is set if the list no longer shows the replica.
	Removed bool
	At      time.Duration
}

// VersionSample is the weight version that a replica ran at one moment.
type VersionSample struct {
	Pool          string
	Replica       string
	At            time.Duration
	WeightVersion string
}
