package admission

import "time"

// burst returns the most tokens that limits let a tenant save up. Without a
// whole token nothing could ever be admitted.
func burst(limits Limits) float64 {
	return max(float64(limits.Burst), 1)
}

// replenish adds the tokens that have become due.
func (g *gate) replenish(now time.Duration) {
	elapsed := now - g.refill
	if elapsed <= 0 {
		g.tokens = min(g.tokens, burst(g.limits))
		return
	}
	g.refill = now
	g.tokens = min(g.tokens+elapsed.Seconds()*g.limits.RequestsPerSecond, burst(g.limits))
}

// takeToken takes a token, or returns the refusal that says when there is one.
func (g *gate) takeToken() (Decision, bool) {
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

// mayRun tells whether a new request may run now: nobody waits before it.
func (g *gate) mayRun() bool {
	return len(g.queue) == 0 && g.hasRoom()
}

// hasRoom tells whether one more request may run.
func (g *gate) hasRoom() bool {
	return g.limits.Concurrent == 0 || g.running < g.limits.Concurrent
}

// expire drops the requests that have waited long enough.
func (g *gate) expire(now time.Duration) {
	kept := g.queue[:0]
	for _, waiting := range g.queue {
		if waiting.until > now {
			kept = append(kept, waiting)
		}
	}
	g.queue = kept
}
