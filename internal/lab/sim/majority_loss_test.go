package sim

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
)

// loseDisksAt takes the disks of some members at once, which come back empty.
func (w *simulation) loseDisksAt(positions ...int) {
	for _, position := range positions {
		w.faults.disks.replaceAt(w.machines.nodes[position], false)
	}
}

// threeDisks is the first seed from one on whose deployment has three disks.
func threeDisks(seed uint64) uint64 {
	for {
		world := newSimulation(Settings{Seed: seed, Virtual: DefaultVirtual})
		world.build()
		if len(world.machines.group) == 3 {
			return seed
		}
		seed++
	}
}

var _ = Describe("A deployment that lost the majority of its disks", func() {
	const (
		lossAt = 8 * second
		backAt = lossAt + ServiceBackBound
	)

	DescribeTable("is back within the bound with all that was acknowledged, and answers resent orders as before",
		func(positions ...int) {
			for seed := uint64(1); seed <= 6; seed++ {
				var before, after, resent *operatorOrder
				world := play(threeDisks(10*seed), func(world *simulation) {
					world.at(6*second, func() {
						before = world.operators.addKey(0)
						world.operators.issue(before)
					})
					world.at(lossAt, func() { world.loseDisksAt(positions...) })
					world.at(backAt-2*second, func() {
						Expect(world.groups.everyMemberIsVoter()).To(BeTrue(), "seed %d", seed)
						after = world.operators.addKey(0)
						world.operators.issue(after)
						resent = &operatorOrder{content: before.content, change: before.change, firstSent: world.now}
						world.operators.submitTo(world.router(), resent)
					})
				})
				Expect(before.acknowledged() && after.acknowledged() && resent.acknowledged()).To(BeTrue(), "seed %d", seed)
				Expect(resent.reply.GetRevision()).To(Equal(before.reply.GetRevision()))
				Expect(after.reply.GetRevision()).To(Equal(before.reply.GetRevision() + 1))
				Expect(world.violations).To(BeEmpty(), "seed %d", seed)
			}
		},
		Entry("two of three", 0, 1),
		Entry("two others", 1, 2),
		Entry("all three", 0, 1, 2),
	)

	It("takes what only witnesses hold, when the member with a disk has missed it", func() {
		for seed := uint64(1); seed <= 6; seed++ {
			checked := false
			world := play(threeDisks(10*seed), func(world *simulation) {
				late := world.machines.nodes[2]
				world.at(6*second, func() { world.network.isolate(late) })
				back := func(missed *operatorOrder) {
					Expect(world.groups.everyMemberIsVoter()).To(BeTrue(), "seed %d", seed)
					Expect(lo.EveryBy(world.machines.nodes, (*node).serving)).To(BeTrue(), "seed %d", seed)
					Expect(late.view.Revision).To(Equal(missed.reply.GetRevision()), "seed %d", seed)
					checked = true
				}
				world.at(7500*time.Millisecond, func() {
					missed := world.operators.addKey(0)
					world.operators.issueAt(world.router(), missed)
					world.operators.whenAcknowledged(missed, func() {
						Expect(late.view.Revision).To(BeNumerically("<", missed.reply.GetRevision()))
						world.loseDisksAt(0, 1)
						world.network.reconnect(late)
						world.after(ServiceBackBound, func() { back(missed) })
					}, func() { Fail("the order was not acknowledged without the member") })
				})
			})
			Expect(checked).To(BeTrue(), "seed %d", seed)
			Expect(world.violations).To(BeEmpty(), "seed %d", seed)
		}
	})

	It("is back within the bound also with crashes and further losses on the way", func() {
		summary := Campaign{First: 6001, Last: 6030, Virtual: DefaultVirtual, Faults: []string{"majority-disk-loss"}, Jobs: testJobs}.Run()
		Expect(summary.Failures).To(BeEmpty())
		Expect(summary.Faults["majority-recovered"]).To(BeNumerically(">", 30))
	})

	It("is not kept from it by two members that form a group at the same time", func() {
		for _, seed := range []uint64{1226, 1373} {
			result := Run(Settings{Seed: seed, Virtual: DefaultVirtual, Faults: []string{"majority-disk-loss"}})
			Expect(result.Violations).To(BeEmpty(), "seed %d", seed)
		}
	})

	It("waits for a member that is cut off, and for one that is powered down", func() {
		for seed := uint64(1); seed <= 3; seed++ {
			world := play(threeDisks(10*seed), func(world *simulation) {
				cut, down := world.machines.nodes[2], world.machines.nodes[1]
				world.at(lossAt-second, func() { world.network.isolate(cut) })
				world.at(lossAt, func() { world.loseDisksAt(0, 1) })
				world.at(backAt, func() {
					_, known := world.groups.memberSlots(0)
					Expect(known).To(BeFalse(), "seed %d: formed without a member that may hold more", seed)
					world.network.reconnect(cut)
				})
				world.at(backAt+ServiceBackBound, func() {
					Expect(world.groups.everyMemberIsVoter()).To(BeTrue(), "seed %d", seed)
					world.loseDisksAt(0)
					down.stop()
					cut.stop()
				})
				world.at(backAt+ServiceBackBound+4*second, func() {
					_, known := world.groups.memberSlots(0)
					Expect(known).To(BeFalse(), "seed %d: formed without those that still have disks", seed)
					down.start()
					cut.start()
				})
			})
			Expect(world.violations).To(BeEmpty(), "seed %d", seed)
		}
	})
})
