package lease_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/lease"
)

var timing = lease.Timing{Duration: 6 * time.Second, Margin: time.Second}

var _ = Describe("a command lease", func() {
	It("expires for the holder one margin before its duration has passed since the newest acknowledged message was sent", func() {
		holder := lease.NewHolder(timing)
		Expect(holder.MayAct(0)).To(BeFalse())
		holder.Confirm(10 * time.Second)
		holder.Confirm(9 * time.Second)
		Expect(holder.MayAct(15*time.Second - 1)).To(BeTrue())
		Expect(holder.MayAct(15 * time.Second)).To(BeFalse())
	})

	It("starts for the successor one margin after its duration has passed since the election", func() {
		successor := lease.NewSuccessor(timing, 10*time.Second)
		Expect(successor.MayAct(17*time.Second - 1)).To(BeFalse())
		Expect(successor.MayAct(17 * time.Second)).To(BeTrue())
	})

	It("lets nobody act with zero values", func() {
		var holder lease.Holder
		var successor lease.Successor
		Expect(holder.MayAct(time.Hour)).To(BeFalse())
		Expect(successor.MayAct(time.Hour)).To(BeFalse())
		disabled := lease.NewHolder(lease.Timing{})
		disabled.Confirm(time.Second)
		Expect(disabled.MayAct(time.Second)).To(BeFalse())
	})

	It("rejects timings under which no holder could act, except the zero timing", func() {
		Expect(timing.Check()).To(Succeed())
		Expect(lease.Timing{}.Check()).To(Succeed())
		Expect(lease.Timing{Duration: time.Second, Margin: time.Second}.Check()).NotTo(Succeed())
		Expect(lease.Timing{Duration: time.Second, Margin: -1}.Check()).NotTo(Succeed())
	})
})
