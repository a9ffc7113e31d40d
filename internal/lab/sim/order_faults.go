package sim

import "time"

// orderFaults issue more orders at a time than operators usually do.
type orderFaults struct {
	env       *environment
	operators *operators
}

// configStorm issues many orders within a second.
func (f *orderFaults) configStorm() {
	const orders = 25
	for range orders {
		f.env.after(f.env.upTo(time.Second), func() { f.operators.issue(f.operators.randomOrder(0)) })
	}
}

// supersedeWeights names weights several times before they run everywhere.
func (f *orderFaults) supersedeWeights() {
	const namings = 4
	pool := pick(f.env.randomness, poolNames)
	for range namings {
		f.env.after(f.env.upTo(6*time.Second), func() { f.operators.issue(f.operators.nameWeights(0, pool)) })
	}
}
