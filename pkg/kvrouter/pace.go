package kvrouter

import "time"

const (
	// paceMemory is the factor by which the weight of earlier observations of a
	// pool shrinks with each new one.
	paceMemory = 0.995
	// paceWeight is the weight of the assumed values, in observations.
	paceWeight = 4
	// lateWeight is the weight of an observation that took longer than expected.
	// Most of those waited behind work that this router did not know of, so that
	// the early ones tell more of the replica's speed.
	lateWeight = 0.1
	// shortTokens and longTokens are the prompts at which they are assumed.
	shortTokens = 1000
	longTokens  = 8000
	// leastPerToken and mostPerToken bound the learnt speed, in ms per token.
	leastPerToken = 0.001
	mostPerToken  = 0.5

	// slownessMemory is the factor by which earlier observations of a replica
	// shrink with each new one, and slownessPrior the weight of the assumption
	// that it is like its pool.
	slownessMemory  = 0.9
	slownessPrior   = 2.0
	leastSlowness   = 0.3
	mostSlowness    = 8.0
	mostObserved    = 3.0
	slownessHalving = 20 * time.Second
)

// pace is the time that the replicas of a pool take to the first event, as a
// fixed time and a time per token of prompt, learnt by least squares whose
// observations fade.
type pace struct {
	count, sumX, sumY, sumXX, sumXY float64
	// fixed and perToken are in milliseconds.
	fixed, perToken float64
}

func newPace(profile *EngineProfile) *pace {
	p := &pace{}
	fixed, perToken := milliseconds(profile.FirstEvent), 1/profile.PrefillTokensPerMillisecond
	for range paceWeight / 2 {
		p.add(1, shortTokens, fixed+perToken*shortTokens)
		p.add(1, longTokens, fixed+perToken*longTokens)
	}
	p.solve()
	return p
}

// learn takes in that a replica of usual speed read tokens in a time.
func (p *pace) learn(tokens, took float64) {
	p.count *= paceMemory
	p.sumX *= paceMemory
	p.sumY *= paceMemory
	p.sumXX *= paceMemory
	p.sumXY *= paceMemory
	weight := 1.0
	if took > p.expected(tokens) {
		weight = lateWeight
	}
	p.add(weight, tokens, took)
	p.solve()
}

func (p *pace) add(weight, tokens, took float64) {
	p.count += weight
	p.sumX += weight * tokens
	p.sumY += weight * took
	p.sumXX += weight * tokens * tokens
	p.sumXY += weight * tokens * took
}

func (p *pace) solve() {
	divisor := p.count*p.sumXX - p.sumX*p.sumX
	if divisor <= 0 {
		return
	}
	perToken := (p.count*p.sumXY - p.sumX*p.sumY) / divisor
	p.perToken = min(max(perToken, leastPerToken), mostPerToken)
	p.fixed = max(0, (p.sumY-p.perToken*p.sumX)/p.count)
}

// expected returns the milliseconds until tokens are read and the first event
// is there.
func (p *pace) expected(tokens float64) float64 { return p.fixed + p.perToken*tokens }

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
	ratio = min(max(ratio, leastSlowness), mostObserved)
	if ratio > s.factor() {
		weight *= lateWeight
	}
	s.sum = s.sum*slownessMemory + ratio*weight
	s.weight = s.weight*slownessMemory + weight
}

// fade halves the weight of what was observed long ago.
func (s *slowness) fade(now time.Duration) {
	for now-s.updatedAt >= slownessHalving && s.weight > 0.01 {
		s.sum /= 2
		s.weight /= 2
		s.updatedAt += slownessHalving
	}
	s.updatedAt = max(s.updatedAt, now-slownessHalving)
}

// factor returns how many times longer the replica takes than its pool.
func (s *slowness) factor() float64 {
	observed := (s.sum + slownessPrior) / (s.weight + slownessPrior)
	return min(max(observed, leastSlowness), mostSlowness)
}
