package kvrouter

const (
	// latencyDecay is the factor by which the weight of earlier observations shrinks
	// with each new one.
	latencyDecay = 0.995
	// priorObservations is the weight of the assumed values, in observations.
	priorObservations = 4
	// lateWeight is the weight of an observation that took longer than expected.
	// Most of those waited behind work that this router had no report of, so that the
	// early ones tell more of the replica's speed.
	lateWeight = 0.1
	// shortTokens and longTokens are the lengths of prompt of the assumed observations.
	shortTokens = 1000
	longTokens  = 8000
	// minPerToken and maxPerToken bound the learned speed, in milliseconds per token.
	minPerToken = 0.001
	maxPerToken = 0.5
)

// latencyModel is the time that the replicas of a pool take to the first event, as a
// fixed time and a time per token of prompt. Both are learned by least squares, with
// observations that lose weight as new ones come.
type latencyModel struct {
	count, sumX, sumY, sumXX, sumXY float64
	// fixed and perToken are in milliseconds.
	fixed, perToken float64
}

func newLatencyModel(profile *EngineProfile) *latencyModel {
	p := &latencyModel{}
	fixed, perToken := milliseconds(profile.FirstEvent), 1/profile.PrefillTokensPerMillisecond
	for range priorObservations / 2 {
		p.add(1, shortTokens, fixed+perToken*shortTokens)
		p.add(1, longTokens, fixed+perToken*longTokens)
	}
	p.solve()
	return p
}

// learn records that a replica of usual speed took a time, in milliseconds, to
// compute tokens.
func (p *latencyModel) learn(tokens, took float64) {
	p.count *= latencyDecay
	p.sumX *= latencyDecay
	p.sumY *= latencyDecay
	p.sumXX *= latencyDecay
	p.sumXY *= latencyDecay
	weight := 1.0
	if took > p.expected(tokens) {
		weight = lateWeight
	}
	p.add(weight, tokens, took)
	p.solve()
}

func (p *latencyModel) add(weight, tokens, took float64) {
	p.count += weight
	p.sumX += weight * tokens
	p.sumY += weight * took
	p.sumXX += weight * tokens * tokens
	p.sumXY += weight * tokens * took
}

func (p *latencyModel) solve() {
	divisor := p.count*p.sumXX - p.sumX*p.sumX
	if divisor <= 0 {
		return
	}
	perToken := (p.count*p.sumXY - p.sumX*p.sumY) / divisor
	p.perToken = min(max(perToken, minPerToken), maxPerToken)
	p.fixed = max(0, (p.sumY-p.perToken*p.sumX)/p.count)
}

// expected returns the time until tokens are computed and the first event has come,
// in milliseconds.
func (p *latencyModel) expected(tokens float64) float64 { return p.fixed + p.perToken*tokens }
