package admission

import "time"

// Options configure the bounds of the node as a whole.
type Options struct {
	// Concurrent is the number of requests of all tenants that may run at a
	// time; zero means no bound.
	Concurrent uint32
	// Reserved is how many of the Concurrent slots are reserved for tenants below their
	// fair share.
	Reserved uint32
	// Queued is how many requests of a tenant may wait for a slot of the node, and
	// QueueTimeout is the longest wait. They apply to a request that arrives while its
	// tenant runs fewer requests than Limits.Concurrent permits; each of them then replaces
	// the tenant's own value if that is smaller.
	Queued       uint32
	QueueTimeout time.Duration
}

// Limits bound one tenant on one node. A zero rate or number of concurrent
// requests means no bound.
type Limits struct {
	// RequestsPerSecond is the refill rate of the tenant's token bucket.
	RequestsPerSecond float64
	// Burst is the capacity of the token bucket.
	Burst uint32
	// Concurrent is the number of requests that may run at a time.
	Concurrent uint32
	// Queued is the number of requests that may wait while Concurrent requests run.
	Queued uint32
	// QueueTimeout is the longest wait of a queued request.
	QueueTimeout time.Duration
	// Weight is the tenant's weight in the fair sharing of a node at capacity; zero means
	// 1.
	Weight uint32
}

// weight returns Weight, but at least 1.
func (l Limits) weight() uint64 {
	return uint64(max(l.Weight, 1))
}

// Arrival is a request for admission.
type Arrival struct {
	Tenant string
	Limits Limits
	// Deadline is the time at which the response becomes useless; zero means that there is
	// no deadline.
	Deadline time.Duration
}

// Outcome is the decision about an arrival.
type Outcome int

// The outcomes of an arrival.
const (
	// Admitted means that the request may run. The caller must release it afterwards.
	Admitted Outcome = iota
	// Queued means that the request waits until a Release returns its ticket.
	Queued
	// RefusedRate means that the tenant's token bucket is empty.
	RefusedRate
	// RefusedQueueFull means that no slot is free, and that the queue is full or that no
	// waiting is permitted.
	RefusedQueueFull
	// RefusedDeadline means that the request is expected to miss its deadline in the queue.
	RefusedDeadline
)

// Ticket identifies an arrival that was admitted or queued.
type Ticket uint64

// Decision is the response to an arrival.
type Decision struct {
	Outcome Outcome
	Ticket  Ticket
	// Until is the time at which a queued request stops waiting.
	Until time.Duration
	// RetryAfter is how long a refused request should wait before it is retried. It is a
	// duration, whereas Until is a time on the caller's clock.
	RetryAfter time.Duration
}
