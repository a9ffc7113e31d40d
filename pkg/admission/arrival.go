package admission

import "time"

// Options bound the node as a whole.
type Options struct {
	// Concurrent is the number of requests of all tenants that may run at a
	// time; zero means no bound.
	Concurrent uint32
	// Reserved is how many of these are kept for tenants that hold less than
	// their fair share.
	Reserved uint32
	// Queued is the least number of requests of a tenant that may wait for
	// the node, while the tenant's own number at a time is not used up.
	Queued uint32
	// QueueTimeout is the longest wait of those, unless the tenant's own is
	// longer.
	QueueTimeout time.Duration
}

// Limits bound one tenant on one node. A zero rate or number of concurrent
// requests means no bound.
type Limits struct {
	// RequestsPerSecond refills the tenant's tokens.
	RequestsPerSecond float64
	// Burst is the number of tokens that may be saved up.
	Burst uint32
	// Concurrent is the number of requests that may run at a time.
	Concurrent uint32
	// Queued is the number of requests that may wait for one of those.
	Queued uint32
	// QueueTimeout is the longest wait.
	QueueTimeout time.Duration
	// Weight is the tenant's part of a node that is full, in proportion to
	// the weights of the others; zero means 1.
	Weight uint32
}

// weight returns the weight, which is at least 1.
func (l Limits) weight() uint64 {
	return uint64(max(l.Weight, 1))
}

// Arrival is a request that asks to run.
type Arrival struct {
	Tenant string
	Limits Limits
	// Deadline is the time at which the answer is of no more use; zero if
	// there is none.
	Deadline time.Duration
}

// Outcome tells what became of an arrival.
type Outcome int

// The outcomes of an arrival.
const (
	// Admitted means that the request may go on, and is to be released.
	Admitted Outcome = iota
	// Queued means that the request waits for a Release to grant it.
	Queued
	// RefusedRate means that the tenant's rate is used up.
	RefusedRate
	// RefusedQueueFull means that no place to run or wait is free.
	RefusedQueueFull
	// RefusedDeadline means that the deadline would pass in the queue.
	RefusedDeadline
)

// Ticket names one arrival.
type Ticket uint64

// Decision is the answer to an arrival.
type Decision struct {
	Outcome Outcome
	Ticket  Ticket
	// Until is the time at which a queued request stops waiting.
	Until time.Duration
	// RetryAfter is when a refused request may come back.
	RetryAfter time.Duration
}
