package speed

import "time"

const (
	// slownessDecay is the factor by which the weight of earlier observations shrinks
	// with each new one, and slownessPrior the weight of the assumption that the
	// replica is as fast as its pool.
	slownessDecay = 0.9
	slownessPrior = 2.0
	// minSlowness and maxSlowness bound the estimate, and minSlowness and maxObservedRatio
	// a single observation.
	minSlowness      = 0.3
	maxSlowness      = 8.0
	maxObservedRatio = 3.0
	// slownessHalfLife is the time in which the weight of the observations halves.
	slownessHalfLife = 20 * time.Second
	// negligibleWeight is the weight up to which observations no longer lose weight.
	negligibleWeight = 0.01
)

// Slowness is how many times longer one replica takes than its pool, as a weighted
// sum of observations and the sum of their weights. Routers do not share it: if they
// did, a single queue would make a replica appear slow to all of them. The zero value
// means that the replica is as fast as its pool.
type Slowness struct {
	sum, weight float64
	updatedAt   time.Duration
}

// Observe records a ratio of observed to expected time, with a weight.
func (s *Slowness) Observe(now time.Duration, ratio, weight float64) {
	s.decay(now)
	ratio = min(max(ratio, minSlowness), maxObservedRatio)
	if ratio > s.Factor() {
		weight *= lateWeight
	}
	s.sum = s.sum*slownessDecay + ratio*weight
	s.weight = s.weight*slownessDecay + weight
}

// decay halves the weight of the observations for each half-life that has passed.
func (s *Slowness) decay(now time.Duration) {
	for now-s.updatedAt >= slownessHalfLife && s.weight > negligibleWeight {
		s.sum /= 2
		s.weight /= 2
		s.updatedAt += slownessHalfLife
	}
	s.updatedAt = max(s.updatedAt, now-slownessHalfLife)
}

// Factor returns how many times longer the replica takes than its pool. It is above 0.
func (s *Slowness) Factor() float64 {
	observed := (s.sum + slownessPrior) / (s.weight + slownessPrior)
	return min(max(observed, minSlowness), maxSlowness)
}
