package outlier

import (
	"math"
	"time"
)

// maxTallyWeight is the largest weight of a tally: beyond it, newer outcomes displace older
// ones, so that a busy replica that starts to fail is detected as soon as one with little
// traffic.
const maxTallyWeight = 6

// tally counts outcomes. Outcomes lose weight with age, and as newer ones displace them.
type tally struct {
	failures, total float64
	updatedAt       time.Duration
}

// add counts failures among a total of outcomes.
func (t *tally) add(now, halfLife time.Duration, failures, total float64) {
	t.decay(now, halfLife)
	t.failures += failures
	t.total += total
	if t.total > maxTallyWeight {
		t.failures *= maxTallyWeight / t.total
		t.total = maxTallyWeight
	}
}

// decay reduces the weight of old outcomes.
func (t *tally) decay(now, halfLife time.Duration) {
	if elapsed := now - t.updatedAt; elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(halfLife))
		t.failures *= factor
		t.total *= factor
		t.updatedAt = now
	}
}

// plus returns the sum with another tally of the same time.
func (t tally) plus(other tally) tally {
	return tally{failures: t.failures + other.failures, total: t.total + other.total, updatedAt: t.updatedAt}
}

// failureRatio returns the ratio of failures to all outcomes; 0 if there are none.
func (t tally) failureRatio() float64 {
	if t.total <= 0 {
		return 0
	}
	return t.failures / t.total
}
