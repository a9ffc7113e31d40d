package admission

import (
	"slices"
	"time"
)

// waiter is a queued request. It stops waiting at the time until.
type waiter struct {
	ticket Ticket
	until  time.Duration
}

// tenantState is the state of one tenant.
type tenantState struct {
	name string
	// limits are those of the last arrival.
	limits Limits
	// tokens is the number of tokens in the bucket at refilledAt.
	tokens     float64
	refilledAt time.Duration
	// running is the number of requests that have a slot, and queue holds the requests that
	// wait for one, in the order of their arrival.
	running     uint32
	queue       []waiter
	serviceTime serviceTime
	// lastGrant is the value of Controller.grants at the last grant.
	lastGrant uint64
	// countedWeight is the tenant's part of Controller.activeWeight, and inWaiting reports
	// whether Controller.waiting contains the tenant.
	countedWeight uint64
	inWaiting     bool
}

// burst returns the capacity of a tenant's token bucket, which is at least 1: a smaller
// bucket would never contain the token that a request takes.
func burst(limits Limits) float64 {
	return max(float64(limits.Burst), 1)
}

// replenish adds the tokens for the time since the last refill.
func (t *tenantState) replenish(now time.Duration) {
	elapsed := now - t.refilledAt
	if elapsed <= 0 {
		t.tokens = min(t.tokens, burst(t.limits))
		return
	}
	t.refilledAt = now
	t.tokens = min(t.tokens+elapsed.Seconds()*t.limits.RequestsPerSecond, burst(t.limits))
}

// takeToken takes a token and returns false, or returns true and a refusal that says when
// there will be a token. Without a rate limit it takes none.
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

// mayRun reports whether the state of the tenant permits a new request to run: no request
// is queued before it, and the tenant has capacity.
func (t *tenantState) mayRun() bool {
	return len(t.queue) == 0 && t.hasCapacity()
}

// hasCapacity reports whether the tenant's own limit permits one more running request.
func (t *tenantState) hasCapacity() bool {
	return t.limits.Concurrent == 0 || t.running < t.limits.Concurrent
}

// inUse reports whether the tenant has running or queued requests.
func (t *tenantState) inUse() bool {
	return t.running > 0 || len(t.queue) > 0
}

// expire removes all requests from the queue that have stopped waiting.
func (t *tenantState) expire(now time.Duration) {
	t.queue = slices.DeleteFunc(t.queue, func(queued waiter) bool { return queued.until <= now })
}

// expireFromHead removes requests that have stopped waiting only from the head of the queue,
// up to the first that still waits, so that a grant does not scan the whole queue.
func (t *tenantState) expireFromHead(now time.Duration) {
	for len(t.queue) > 0 && t.queue[0].until <= now {
		t.queue = t.queue[1:]
	}
}

// remove removes a request from the queue, and reports whether the request was queued.
func (t *tenantState) remove(ticket Ticket) bool {
	i := slices.IndexFunc(t.queue, func(queued waiter) bool { return queued.ticket == ticket })
	if i < 0 {
		return false
	}
	t.queue = slices.Delete(t.queue, i, i+1)
	return true
}
