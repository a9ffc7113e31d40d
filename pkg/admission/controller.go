package admission

import (
	"sort"
	"time"
)

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

// waiter is a request in a queue.
type waiter struct {
	ticket Ticket
	until  time.Duration
}

// gate is the state of one tenant.
type gate struct {
	limits  Limits
	tokens  float64
	refill  time.Duration
	running uint32
	queue   []waiter
}

// Controller holds the gates of all tenants.
type Controller struct {
	gates map[string]*gate
	last  Ticket
}

// New returns a controller that has seen no request.
func New() *Controller {
	return &Controller{gates: make(map[string]*gate)}
}

// Arrive decides over a request of a tenant that comes at the time now.
func (c *Controller) Arrive(now time.Duration, tenant string, limits Limits) Decision {
	gate := c.gate(now, tenant, limits)
	gate.expire(now)
	gate.replenish(now)
	if gate.mayRun() {
		return c.admit(gate)
	}
	return c.enqueue(now, gate)
}

// Release gives back the place of an admitted request, and returns the tickets
// of waiting requests that are admitted by it, in their order of arrival.
func (c *Controller) Release(now time.Duration, tenant string) []Ticket {
	gate, known := c.gates[tenant]
	if !known {
		return nil
	}
	if gate.running > 0 {
		gate.running--
	}
	gate.expire(now)
	var granted []Ticket
	for len(gate.queue) > 0 && gate.hasRoom() {
		granted = append(granted, gate.queue[0].ticket)
		gate.queue = gate.queue[1:]
		gate.running++
	}
	return granted
}

// Abandon takes a waiting request out of the queue. It returns false if the
// request no longer waits; if it was granted meanwhile, it is to be released.
func (c *Controller) Abandon(tenant string, ticket Ticket) bool {
	gate, known := c.gates[tenant]
	if !known {
		return false
	}
	for position, waiting := range gate.queue {
		if waiting.ticket == ticket {
			gate.queue = append(gate.queue[:position:position], gate.queue[position+1:]...)
			return true
		}
	}
	return false
}

// Retain forgets the tenants that keep refuses and that have no request here.
func (c *Controller) Retain(keep func(tenant string) bool) {
	for tenant, gate := range c.gates {
		if gate.running == 0 && len(gate.queue) == 0 && !keep(tenant) {
			delete(c.gates, tenant)
		}
	}
}

// Tenants returns the sorted names of the tenants that have a gate.
func (c *Controller) Tenants() []string {
	names := make([]string, 0, len(c.gates))
	for tenant := range c.gates {
		names = append(names, tenant)
	}
	sort.Strings(names)
	return names
}

// gate returns the tenant's gate under its present limits.
func (c *Controller) gate(now time.Duration, tenant string, limits Limits) *gate {
	existing, known := c.gates[tenant]
	if !known {
		existing = &gate{tokens: burst(limits), refill: now}
		c.gates[tenant] = existing
	}
	existing.limits = limits
	return existing
}

// admit lets a request run.
func (c *Controller) admit(gate *gate) Decision {
	if refusal, refused := gate.takeToken(); refused {
		return refusal
	}
	c.last++
	gate.running++
	return Decision{Outcome: Admitted, Ticket: c.last}
}

// enqueue lets a request wait. A request that finds no place takes no token.
func (c *Controller) enqueue(now time.Duration, gate *gate) Decision {
	if uint32(len(gate.queue)) >= gate.limits.Queued || gate.limits.QueueTimeout <= 0 {
		return Decision{Outcome: RefusedQueueFull, RetryAfter: max(gate.limits.QueueTimeout, time.Second)}
	}
	if refusal, refused := gate.takeToken(); refused {
		return refusal
	}
	c.last++
	until := now + gate.limits.QueueTimeout
	gate.queue = append(gate.queue, waiter{ticket: c.last, until: until})
	return Decision{Outcome: Queued, Ticket: c.last, Until: until}
}
