package hollow

import (
	"context"

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
		fleet.queue.Add(0, fleet.nodes[0].start)
		fleet.runUntil(context.Background(), settings.ConvergenceTimeout, never)
		Expect(fleet.convergedNodes()).To(BeZero())
	})
})
