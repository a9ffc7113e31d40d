package sim

import "time"

// orderFaults issue more orders at a time than operators usually do.
type orderFaults struct {
	env       *environment
	machines  *machines
	operators *operators
	calls     *evacuationCalls
	network   *networkFaults
}

// retakeEvacuation evacuates a zone, ends that, and evacuates it again. The call that ends
// it comes to a node which stands still before it has read the call, or is cut off once it
// has. The operator goes on to another node; the first one gets on with the call after the
// zone was evacuated again.
func (f *orderFaults) retakeEvacuation() {
	zone := f.calls.newZone()
	f.calls.call(pick(f.env.randomness, f.machines.withDisks()), zone, true, func() {
		if f.env.inRecoveryPhase() {
			return
		}
		late := pick(f.env.randomness, f.machines.withDisks())
		delay := f.env.faultDuration(2*time.Second, 5*time.Second)
		if f.env.chance(0.5) {
			late.freeze(delay)
		} else {
			f.network.isolateFor(late, delay)
		}
		f.calls.call(late, zone, false, func() {
			f.calls.call(pick(f.env.randomness, f.machines.without(late)), zone, true, func() {})
		})
	})
}

// applyLargeDocuments has operators apply large documents, two on each base: together they
// take a multiple of a disk, accepted or refused.
func (f *orderFaults) applyLargeDocuments() {
	const races = 30
	const span = 9 * time.Second
	for range races {
		f.env.after(f.env.upTo(span), func() {
			if !f.env.inRecoveryPhase() {
				f.operators.raceLargeDocuments()
			}
		})
	}
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
