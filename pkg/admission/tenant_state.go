package admission

import (
	"slices"
	"time"
)

// waiter is a request in a queue.
type waiter struct {
	ticket Ticket
	until  time.Duration
}

// tenantState is the state of one tenant.
type tenantState struct {
	name        string
	limits      Limits
	tokens      float64
	refilledAt  time.Duration
	running     uint32
	queue       []waiter
	serviceTime serviceTime
	// lastGrant orders tenants by their last grant.
	lastGrant uint64
	// countedWeight and inWaiting are what the controller's totals contain of the tenant.
	countedWeight uint64
	inWaiting     bool
}

// burst returns the most tokens that limits let a tenant save up. Without a
// whole token nothing could ever be admitted.
func burst(limits Limits) float64 {
	return max(float64(limits.Burst), 1)
}

// replenish adds the tokens that have become due.
func (g *tenantState) replenish(now time.Duration) {
	elapsed := now - g.refilledAt
	if elapsed <= 0 {
		g.tokens = min(g.tokens, burst(g.limits))
		return
	}
	g.refilledAt = now
	g.tokens = min(g.tokens+elapsed.Seconds()*g.limits.RequestsPerSecond, burst(g.limits))
}

// takeToken takes a token, or returns the refusal that says when there will be one.
func (g *tenantState) takeToken() (Decision, bool) {
	rate := g.limits.RequestsPerSecond
	if rate <= 0 {
		return Decision{}, false
	}
	if g.tokens < 1 {
		wait := time.Duration((1 - g.tokens) / rate * float64(time.Second))
		return Decision{Outcome: RefusedRate, RetryAfter: wait}, true
	}
	g.tokens--
	return Decision{}, false
}

// mayRun reports whether a new request may run as far as its tenant is concerned: none is
// queued before it.
func (g *tenantState) mayRun() bool {
	return len(g.queue) == 0 && g.hasCapacity()
}

// hasCapacity reports whether one more request of the tenant may run.
func (g *tenantState) hasCapacity() bool {
	return g.limits.Concurrent == 0 || g.running < g.limits.Concurrent
}

// inUse reports whether the tenant has running or queued requests.
func (g *tenantState) inUse() bool {
	return g.running > 0 || len(g.queue) > 0
}

// expire drops the requests that have waited long enough.
func (g *tenantState) expire(now time.Duration) {
	g.queue = slices.DeleteFunc(g.queue, func(queued waiter) bool { return queued.until <= now })
}

// expireFirst drops such requests from the head of the queue only, so that a
// grant does not look at all of it.
func (g *tenantState) expireFirst(now time.Duration) {
	for len(g.queue) > 0 && g.queue[0].until <= now {
		g.queue = g.queue[1:]
	}
}

// remove removes a request from the queue.
func (g *tenantState) remove(ticket Ticket) bool {
	i := slices.IndexFunc(g.queue, func(queued waiter) bool { return queued.ticket == ticket })
	if i < 0 {
		return false
	}
	g.queue = slices.Delete(g.queue, i, i+1)
	return true
}
