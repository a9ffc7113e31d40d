package admission

import (
	"slices"
	"time"
)

// waiter is a request in a queue. It stops waiting at until.
type waiter struct {
	ticket Ticket
	until  time.Duration
}

// tenantState is the state of one tenant.
type tenantState struct {
	name string
	// limits are those of the newest arrival.
	limits Limits
	// tokens are those of the bucket at refilledAt.
	tokens     float64
	refilledAt time.Duration
	// running is how many requests have a slot, and queue holds those that wait for one,
	// in the order of their arrival.
	running     uint32
	queue       []waiter
	serviceTime serviceTime
	// lastGrant is the value of Controller.grants at the last grant.
	lastGrant uint64
	// countedWeight is what Controller.activeWeight contains of the tenant, and inWaiting
	// tells whether Controller.waiting does.
	countedWeight uint64
	inWaiting     bool
}

// burst returns the most tokens that limits let a tenant save up. Without a
// whole token nothing could ever be admitted.
func burst(limits Limits) float64 {
	return max(float64(limits.Burst), 1)
}

// replenish adds the tokens that have become due.
func (t *tenantState) replenish(now time.Duration) {
	elapsed := now - t.refilledAt
	if elapsed <= 0 {
		t.tokens = min(t.tokens, burst(t.limits))
		return
	}
	t.refilledAt = now
	t.tokens = min(t.tokens+elapsed.Seconds()*t.limits.RequestsPerSecond, burst(t.limits))
}

// takeToken takes a token, or returns the refusal that says when there will be one.
func (t *tenantState) takeToken() (Decision, bool) {
	rate := t.limits.RequestsPerSecond
	if rate <= 0 {
		return Decision{}, false
	}
	if t.tokens < 1 {
		wait := time.Duration((1 - t.tokens) / rate * float64(time.Second))
		return Decision{Outcome: RefusedRate, RetryAfter: wait}, true
	}
	t.tokens--
	return Decision{}, false
}

// mayRun reports whether a new request may run as far as its tenant is concerned: none is
// queued before it.
func (t *tenantState) mayRun() bool {
	return len(t.queue) == 0 && t.hasCapacity()
}

// hasCapacity reports whether one more request of the tenant may run.
func (t *tenantState) hasCapacity() bool {
	return t.limits.Concurrent == 0 || t.running < t.limits.Concurrent
}

// inUse reports whether the tenant has running or queued requests.
func (t *tenantState) inUse() bool {
	return t.running > 0 || len(t.queue) > 0
}

// expire drops the requests that have stopped waiting.
func (t *tenantState) expire(now time.Duration) {
	t.queue = slices.DeleteFunc(t.queue, func(queued waiter) bool { return queued.until <= now })
}

// expireFromHead drops them from the head of the queue only, so that a grant does not look at
// all of it.
func (t *tenantState) expireFromHead(now time.Duration) {
	for len(t.queue) > 0 && t.queue[0].until <= now {
		t.queue = t.queue[1:]
	}
}

// remove removes a request from the queue.
func (t *tenantState) remove(ticket Ticket) bool {
	i := slices.IndexFunc(t.queue, func(queued waiter) bool { return queued.ticket == ticket })
	if i < 0 {
		return false
	}
	t.queue = slices.Delete(t.queue, i, i+1)
	return true
}
