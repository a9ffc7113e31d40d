package kvrouter

import "time"

const (
	// latencyDecay is the factor by which the weight of earlier observations of a
	// pool shrinks with each new one.
	latencyDecay = 0.995
	// priorObservations is the weight of the assumed values, in observations.
	priorObservations = 4
	// lateWeight is the weight of an observation that took longer than expected.
	// Most of those waited behind work that this router did not know of, so that
	// the early ones tell more of the replica's speed.
	lateWeight = 0.1
	// shortTokens and longTokens are the prompts at which they are assumed.
	shortTokens = 1000
	longTokens  = 8000
	// minPerToken and maxPerToken bound the learnt speed, in ms per token.
	minPerToken = 0.001
	maxPerToken = 0.5

	// slownessDecay is the factor by which earlier observations of a replica
	// shrink with each new one, and slownessPrior the weight of the assumption
	// that it is like its pool.
	slownessDecay    = 0.9
	slownessPrior    = 2.0
	minSlowness      = 0.3
	maxSlowness      = 8.0
	maxObservedRatio = 3.0
	slownessHalfLife = 20 * time.Second
)

// latencyModel is the time that the replicas of a pool take to the first event, as a
// fixed time and a time per token of prompt, learnt by least squares whose
// observations fade.
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

// learn takes in that a replica of usual speed read tokens in a time.
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

// expected returns the milliseconds until tokens are read and the first event
// is there.
func (p *latencyModel) expected(tokens float64) float64 { return p.fixed + p.perToken*tokens }

// slowness is what the router has observed of one replica's speed: a weighted sum
// of how many times longer it took than its pool does, and the weight. Routers do
// not share it: shared, the same queue slows a replica down in all their eyes.
type slowness struct {
	sum, weight float64
	updatedAt   time.Duration
}

// observe takes in a ratio of observed to expected time.
func (s *slowness) observe(now time.Duration, ratio, weight float64) {
	s.fade(now)
	ratio = min(max(ratio, minSlowness), maxObservedRatio)
	if ratio > s.factor() {
		weight *= lateWeight
	}
	s.sum = s.sum*slownessDecay + ratio*weight
	s.weight = s.weight*slownessDecay + weight
}

// fade halves the weight of what was observed long ago.
func (s *slowness) fade(now time.Duration) {
	for now-s.updatedAt >= slownessHalfLife && s.weight > 0.01 {
		s.sum /= 2
		s.weight /= 2
		s.updatedAt += slownessHalfLife
	}
	s.updatedAt = max(s.updatedAt, now-slownessHalfLife)
}

// factor returns how many times longer the replica takes than its pool.
func (s *slowness) factor() float64 {
	observed := (s.sum + slownessPrior) / (s.weight + slownessPrior)
	return min(max(observed, minSlowness), maxSlowness)
}
