package hollow

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// measured runs settings on the virtual clock.
func measured(settings Settings) *Result {
	settings.Virtual = true
	result, err := Run(context.Background(), settings)
	Expect(err).NotTo(HaveOccurred())
	return result
}

var _ = Describe("A run on the virtual clock", func() {
	It("holds and is the same each time", func() {
		first, second := measured(small()), measured(small())
		Expect(first.StableInVirtualTime).To(BeTrue())
		Expect(first.StableInRealTime).To(BeFalse())
		Expect(first.Spread.Confirmed).To(Equal(2))
		Expect(first.Roles.Front).To(BeNumerically(">", 0))
		Expect(first.All).To(Equal(second.All))
		Expect(first.Spread).To(Equal(second.Spread))
		Expect(first.ConvergenceMS).To(Equal(second.ConvergenceMS))
	})

	It("differs with the seed", func() {
		other := small()
		other.Seed = 2
		Expect(measured(other).Spread).NotTo(Equal(measured(small()).Spread))
	})

	It("does not hold while no majority of the core nodes runs", func() {
		settings := small()
		settings.ConvergenceTimeout = 2 * second
		fleet, err := newVirtualFleet(settings)
		Expect(err).NotTo(HaveOccurred())
		fleet.queue.add(0, fleet.nodes[0].start)
		fleet.runUntil(context.Background(), settings.ConvergenceTimeout, never)
		Expect(fleet.convergedNodes()).To(BeZero())
	})
})

var _ = Describe("The queue of actions", func() {
	It("keeps to time, and to the order of adding within an instant", func() {
		queue := &actionQueue{}
		var ran []string
		for _, planned := range []struct {
			at   time.Duration
			name string
		}{{2, "c"}, {1, "a"}, {2, "d"}, {1, "b"}} {
			queue.add(planned.at, func(time.Duration) { ran = append(ran, planned.name) })
		}
		for queue.Len() > 0 {
			next := queue.popFirst()
			next.run(next.at)
		}
		Expect(ran).To(Equal([]string{"a", "b", "c", "d"}))
	})
})
