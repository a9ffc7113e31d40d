package admission

import "time"

// Options configure the bounds of the node as a whole.
type Options struct {
	// Concurrent is the number of requests of all tenants that may run at a
	// time; zero means no bound.
	Concurrent uint32
	// Reserved is how many of these are reserved for tenants below their fair share.
	Reserved uint32
	// Queued is how many requests of a tenant may wait for a slot of the node, and
	// QueueTimeout the longest wait. Each replaces the tenant's own if it is larger, for a
	// request that arrives while the tenant could run more by its own Concurrent.
	Queued       uint32
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
	// Queued is the number of requests that may wait while Concurrent run.
	Queued uint32
	// QueueTimeout is the longest wait of these.
	QueueTimeout time.Duration
	// Weight is the tenant's weight in the fair share of a node at capacity; zero means
	// 1.
	Weight uint32
}

// weight returns the weight, which is at least 1.
func (l Limits) weight() uint64 {
	return uint64(max(l.Weight, 1))
}

// Arrival is a request for admission.
type Arrival struct {
	Tenant string
	Limits Limits
	// Deadline is the time from which on the response is of no use; zero if there is
	// none.
	Deadline time.Duration
}

// Outcome is the decision about an arrival.
type Outcome int

// The outcomes of an arrival.
const (
	// Admitted means that the request may go on, and is to be released.
	Admitted Outcome = iota
	// Queued means that the request waits for a Release to grant it.
	Queued
	// RefusedRate means that the tenant's rate is used up.
	RefusedRate
	// RefusedQueueFull means that no slot is free, and that the queue is full or that no
	// waiting is permitted.
	RefusedQueueFull
	// RefusedDeadline means that the deadline would pass in the queue.
	RefusedDeadline
)

// Ticket names one arrival that was admitted or queued.
type Ticket uint64

// Decision is the response to an arrival.
type Decision struct {
	Outcome Outcome
	Ticket  Ticket
	// Until is the time at which a queued request stops waiting.
	Until time.Duration
	// RetryAfter is how long a refused request should wait before it is retried. Unlike
	// Until it is no time of the clock.
	RetryAfter time.Duration
}
