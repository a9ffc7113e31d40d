package kvrouter

import "time"

const (
	// slownessDecay is the factor by which the weight of earlier observations shrinks
	// with each new one, and slownessPrior the weight of the assumption that the
	// replica is as fast as its pool.
	slownessDecay    = 0.9
	slownessPrior    = 2.0
	minSlowness      = 0.3
	maxSlowness      = 8.0
	maxObservedRatio = 3.0
	slownessHalfLife = 20 * time.Second
)

// slowness is how many times longer one replica takes than its pool, as a weighted
// sum of observations and the sum of their weights. Routers do not share it: if they
// did, one queue would make a replica seem slow to all of them.
type slowness struct {
	sum, weight float64
	updatedAt   time.Duration
}

// observe records a ratio of observed to expected time.
func (s *slowness) observe(now time.Duration, ratio, weight float64) {
	s.fade(now)
	ratio = min(max(ratio, minSlowness), maxObservedRatio)
	if ratio > s.factor() {
		weight *= lateWeight
	}
	s.sum = s.sum*slownessDecay + ratio*weight
	s.weight = s.weight*slownessDecay + weight
}

// fade halves the weight of the observations with each half-life.
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
