package admission

import (
	"sort"
	"time"
)

// leastRetryAfter is the shortest time that a refused request is told to wait
// for a place.
const leastRetryAfter = time.Second

// holder is a request that runs.
type holder struct {
	gate  *gate
	since time.Duration
}

// Controller holds the gates of all tenants and the places of the node.
type Controller struct {
	options Options
	gates   map[string]*gate
	running map[Ticket]holder
	// waiting holds the gates that have a queue, in no order.
	waiting []*gate
	// activeWeight is the sum of the weights of the gates in use.
	activeWeight uint64
	last         Ticket
	// grants counts what was admitted; it orders tenants that hold equally
	// much.
	grants uint64
}

// New returns a controller that has seen no request.
func New(options Options) *Controller {
	return &Controller{options: options, gates: make(map[string]*gate), running: make(map[Ticket]holder)}
}

// Arrive decides over a request that comes at the time now.
func (c *Controller) Arrive(now time.Duration, arrival Arrival) Decision {
	gate := c.gate(now, arrival)
	gate.expireFirst(now)
	c.recount(gate)
	gate.replenish(now)
	if gate.mayRun() && c.hasPlace(gate) {
		return c.admit(now, gate)
	}
	return c.enqueue(now, gate, arrival.Deadline)
}

// Release gives back the place of an admitted request, and returns the tickets
// of waiting requests that are admitted by it, in the order of admission. A
// ticket that holds no place releases nothing.
func (c *Controller) Release(now time.Duration, ticket Ticket) []Ticket {
	held, runs := c.running[ticket]
	if !runs {
		return nil
	}
	delete(c.running, ticket)
	held.gate.running--
	held.gate.holding.learn(now - held.since)
	c.recount(held.gate)
	return c.grantAll(now)
}

// Abandon takes a waiting request out of the queue. It returns false if the
// request no longer waits; if it was granted meanwhile, it is to be released.
func (c *Controller) Abandon(tenant string, ticket Ticket) bool {
	gate, known := c.gates[tenant]
	if !known || !gate.remove(ticket) {
		return false
	}
	c.recount(gate)
	return true
}

// Retain forgets the tenants that keep refuses and that have no request here.
func (c *Controller) Retain(keep func(tenant string) bool) {
	for tenant, gate := range c.gates {
		if !gate.inUse() && !keep(tenant) {
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

// Running returns how many requests of all tenants run.
func (c *Controller) Running() int {
	return len(c.running)
}

// gate returns the tenant's gate under its present limits.
func (c *Controller) gate(now time.Duration, arrival Arrival) *gate {
	existing, known := c.gates[arrival.Tenant]
	if !known {
		existing = &gate{tenant: arrival.Tenant, tokens: burst(arrival.Limits), refill: now}
		c.gates[arrival.Tenant] = existing
	}
	existing.limits = arrival.Limits
	return existing
}

// admit lets a request run.
func (c *Controller) admit(now time.Duration, gate *gate) Decision {
	if refusal, refused := gate.takeToken(); refused {
		return refusal
	}
	c.last++
	c.run(now, gate, c.last)
	return Decision{Outcome: Admitted, Ticket: c.last}
}

// run gives a place to a request.
func (c *Controller) run(now time.Duration, gate *gate, ticket Ticket) {
	c.grants++
	gate.lastGrant = c.grants
	gate.running++
	c.running[ticket] = holder{gate: gate, since: now}
	c.recount(gate)
}

// enqueue lets a request wait. A request that finds no place, or that would
// wait in vain, takes no token.
func (c *Controller) enqueue(now time.Duration, gate *gate, deadline time.Duration) Decision {
	places, timeout := c.queueLimits(gate)
	if uint32(len(gate.queue)) >= places {
		gate.expire(now)
		c.recount(gate)
	}
	if uint32(len(gate.queue)) >= places || timeout <= 0 {
		return Decision{Outcome: RefusedQueueFull, RetryAfter: max(timeout, leastRetryAfter)}
	}
	until := now + timeout
	if deadline > 0 {
		until = min(until, deadline-gate.holding.shortest)
		wait := c.expectedWait(gate)
		if now+wait >= deadline-gate.holding.shortest {
			return Decision{Outcome: RefusedDeadline, RetryAfter: max(wait, leastRetryAfter)}
		}
	}
	if refusal, refused := gate.takeToken(); refused {
		return refusal
	}
	c.last++
	gate.queue = append(gate.queue, waiter{ticket: c.last, until: until})
	c.recount(gate)
	return Decision{Outcome: Queued, Ticket: c.last, Until: until}
}

// queueLimits returns the number of places in a tenant's queue and the longest
// wait. The node's own hold for a tenant that waits for nothing but the node.
func (c *Controller) queueLimits(gate *gate) (places uint32, timeout time.Duration) {
	if !gate.hasRoom() {
		return gate.limits.Queued, gate.limits.QueueTimeout
	}
	return max(gate.limits.Queued, c.options.Queued), max(gate.limits.QueueTimeout, c.options.QueueTimeout)
}
