package speed

const (
	// latencyDecay is the factor by which the weight of earlier observations shrinks
	// with each new one.
	latencyDecay = 0.995
	// priorObservations is the weight of the assumed values, in observations.
	priorObservations = 4
	// lateWeight is the weight of an observation that took longer than expected. Most of
	// these requests waited behind work that was not reported to this router, so that
	// shorter times are better evidence of the replica's speed.
	lateWeight = 0.1
	// shortTokens and longTokens are the prompt lengths of the assumed observations.
	shortTokens = 1000
	longTokens  = 8000
	// minPerToken and maxPerToken bound the learned speed, in milliseconds per token.
	minPerToken = 0.001
	maxPerToken = 0.5
)

// Latency is the time that the replicas of a pool take to the first event, as a fixed
// time and a time per token of prompt. Both are fitted by least squares to observations
// that lose weight with each newer one.
type Latency struct {
	// The weighted sums of the least-squares fit, where X is tokens and Y milliseconds.
	count, sumX, sumY, sumXX, sumXY float64
	// fixed and perToken are in milliseconds.
	fixed, perToken float64
}

// NewLatency returns a Latency that assumes a fixed time and a time per token, both in
// milliseconds.
func NewLatency(fixed, perToken float64) *Latency {
	l := &Latency{}
	for range priorObservations / 2 {
		l.add(1, shortTokens, fixed+perToken*shortTokens)
		l.add(1, longTokens, fixed+perToken*longTokens)
	}
	l.solve()
	return l
}

// Observe records the time, in milliseconds, that a replica of the pool took to compute
// tokens and send the first event.
func (l *Latency) Observe(tokens, took float64) {
	l.count *= latencyDecay
	l.sumX *= latencyDecay
	l.sumY *= latencyDecay
	l.sumXX *= latencyDecay
	l.sumXY *= latencyDecay
	weight := 1.0
	if took > l.Expected(tokens) {
		weight = lateWeight
	}
	l.add(weight, tokens, took)
	l.solve()
}

func (l *Latency) add(weight, tokens, took float64) {
	l.count += weight
	l.sumX += weight * tokens
	l.sumY += weight * took
	l.sumXX += weight * tokens * tokens
	l.sumXY += weight * tokens * took
}

func (l *Latency) solve() {
	divisor := l.count*l.sumXX - l.sumX*l.sumX
	if divisor <= 0 {
		return
	}
	perToken := (l.count*l.sumXY - l.sumX*l.sumY) / divisor
	l.perToken = min(max(perToken, minPerToken), maxPerToken)
	l.fixed = max(0, (l.sumY-l.perToken*l.sumX)/l.count)
}

// Expected returns the expected time, in milliseconds, until tokens are computed and the
// first event has arrived.
func (l *Latency) Expected(tokens float64) float64 { return l.fixed + l.perToken*tokens }

// PerToken returns the time per token of prompt, in milliseconds. It is above 0.
func (l *Latency) PerToken() float64 { return l.perToken }
