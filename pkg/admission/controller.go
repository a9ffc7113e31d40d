package admission

import (
	"sort"
	"time"
)

// minRetryAfter is the minimum of Decision.RetryAfter for a request that is refused because
// no slot is free.
const minRetryAfter = time.Second

// runningRequest is a request that has a slot.
type runningRequest struct {
	tenant    *tenantState
	startedAt time.Duration
}

// Controller owns the state of all tenants and the slots of the node. After each change of
// a tenant, updateTotals updates the fields waiting and activeWeight.
type Controller struct {
	options Options
	tenants map[string]*tenantState
	// running holds the requests that have a slot.
	running map[Ticket]runningRequest
	// waiting holds the tenants with queued requests, in no order.
	waiting []*tenantState
	// activeWeight is the sum of the weights of the tenants with running or queued requests.
	activeWeight uint64
	lastTicket   Ticket
	// grants counts the requests that got a slot; it orders tenants with equal usage.
	grants uint64
}

// New returns a controller that has seen no request.
func New(options Options) *Controller {
	return &Controller{options: options, tenants: make(map[string]*tenantState), running: make(map[Ticket]runningRequest)}
}

// Arrive admits, queues or refuses a request that arrives at the time now.
func (c *Controller) Arrive(now time.Duration, arrival Arrival) Decision {
	state := c.tenant(now, arrival)
	state.expireFromHead(now)
	c.updateTotals(state)
	state.replenish(now)
	if state.mayRun() && c.nodeHasCapacity(state) {
		return c.admit(now, state)
	}
	return c.enqueue(now, state, arrival.Deadline)
}

// Release frees the slot of an admitted request, and returns the tickets of the queued
// requests that are admitted as a result, in the order of admission. It does nothing if the
// ticket has no slot.
func (c *Controller) Release(now time.Duration, ticket Ticket) []Ticket {
	ended, found := c.running[ticket]
	if !found {
		return nil
	}
	delete(c.running, ticket)
	ended.tenant.running--
	ended.tenant.serviceTime.observe(now - ended.startedAt)
	c.updateTotals(ended.tenant)
	return c.grantAll(now)
}

// Abandon removes a request from the queue of the named tenant. It returns false if the
// request is not queued; if that is because it has been admitted, the caller must release
// it.
func (c *Controller) Abandon(name string, ticket Ticket) bool {
	state, found := c.tenants[name]
	if !found || !state.remove(ticket) {
		return false
	}
	c.updateTotals(state)
	return true
}

// Retain deletes the state of each tenant for which keep returns false, unless the tenant
// has running or queued requests.
func (c *Controller) Retain(keep func(name string) bool) {
	for name, state := range c.tenants {
		if !state.inUse() && !keep(name) {
			delete(c.tenants, name)
		}
	}
}

// Tenants returns the sorted names of the tenants that have a state.
func (c *Controller) Tenants() []string {
	names := make([]string, 0, len(c.tenants))
	for tenant := range c.tenants {
		names = append(names, tenant)
	}
	sort.Strings(names)
	return names
}

// Running returns the number of running requests of all tenants.
func (c *Controller) Running() int {
	return len(c.running)
}

// tenant returns the state of an arrival's tenant, with the limits of the arrival. It
// creates the state if there is none.
func (c *Controller) tenant(now time.Duration, arrival Arrival) *tenantState {
	existing, found := c.tenants[arrival.Tenant]
	if !found {
		existing = &tenantState{name: arrival.Tenant, tokens: burst(arrival.Limits), refilledAt: now}
		c.tenants[arrival.Tenant] = existing
	}
	existing.limits = arrival.Limits
	return existing
}

// admit assigns a slot to a request, or refuses the request if there is no token for it.
func (c *Controller) admit(now time.Duration, state *tenantState) Decision {
	if refusal, refused := state.takeToken(); refused {
		return refusal
	}
	c.lastTicket++
	c.run(now, state, c.lastTicket)
	return Decision{Outcome: Admitted, Ticket: c.lastTicket}
}

// run assigns a slot to a request.
func (c *Controller) run(now time.Duration, state *tenantState, ticket Ticket) {
	c.grants++
	state.lastGrant = c.grants
	state.running++
	c.running[ticket] = runningRequest{tenant: state, startedAt: now}
	c.updateTotals(state)
}

// enqueue queues or refuses a request. A request that is refused because the queue is full,
// or because it would miss its deadline in the queue, takes no token.
func (c *Controller) enqueue(now time.Duration, state *tenantState, deadline time.Duration) Decision {
	length, timeout := c.queueLimits(state)
	if uint32(len(state.queue)) >= length {
		state.expire(now)
		c.updateTotals(state)
	}
	if uint32(len(state.queue)) >= length || timeout <= 0 {
		return Decision{Outcome: RefusedQueueFull, RetryAfter: max(timeout, minRetryAfter)}
	}
	until := now + timeout
	if deadline > 0 {
		until = min(until, deadline-state.serviceTime.shortest)
		wait := c.expectedWait(state)
		if now+wait >= deadline-state.serviceTime.shortest {
			return Decision{Outcome: RefusedDeadline, RetryAfter: max(wait, minRetryAfter)}
		}
	}
	if refusal, refused := state.takeToken(); refused {
		return refusal
	}
	c.lastTicket++
	state.queue = append(state.queue, waiter{ticket: c.lastTicket, until: until})
	c.updateTotals(state)
	return Decision{Outcome: Queued, Ticket: c.lastTicket, Until: until}
}

// queueLimits returns the maximum length of a tenant's queue and the longest wait. While
// the tenant runs as many requests as its own limit permits, these are its own values.
// Otherwise its requests wait only for a slot of the node, and the larger ones of its own
// values and those of Options apply.
func (c *Controller) queueLimits(state *tenantState) (length uint32, timeout time.Duration) {
	if !state.hasCapacity() {
		return state.limits.Queued, state.limits.QueueTimeout
	}
	return max(state.limits.Queued, c.options.Queued), max(state.limits.QueueTimeout, c.options.QueueTimeout)
}
