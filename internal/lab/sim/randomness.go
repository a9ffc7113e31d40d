package sim

import (
	"math/rand/v2"
	"time"
)

// The streams of random numbers of a run, each derived from its seed. They are
// separate so that, for example, further reads do not change the faults.
const (
	planStream uint64 = iota + 1
	runStream
	readStream
)

// randomness is all randomness of a run. The order of the draws is part of what a
// seed stands for: another order gives another run.
type randomness struct {
	// plan draws the deployment and the schedule of its faults and orders, random
	// everything else.
	plan   *rand.Rand
	random *rand.Rand
	// readPlan draws which operator reads when.
	readPlan *rand.Rand
}

func newRandomness(seed uint64) *randomness {
	return &randomness{
		plan:     rand.New(rand.NewPCG(seed, planStream)),
		random:   rand.New(rand.NewPCG(seed, runStream)),
		readPlan: rand.New(rand.NewPCG(seed, readStream)),
	}
}

// upTo returns a random duration below a bound; 0 if the bound is not positive.
func (r *randomness) upTo(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(r.random.Int64N(int64(bound)))
}

// chance returns true with a probability.
func (r *randomness) chance(probability float64) bool {
	return probability > 0 && r.random.Float64() < probability
}

// planned returns a random duration below a bound from the stream of the plan.
func (r *randomness) planned(bound time.Duration) time.Duration {
	return time.Duration(r.plan.Int64N(int64(bound)))
}

// pick returns a random element of a slice that is not empty.
func pick[Element any](r *randomness, elements []Element) Element {
	return elements[r.random.IntN(len(elements))]
}
