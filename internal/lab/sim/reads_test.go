package sim

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// readBackBound is how long a read may take while nothing is wrong.
const readBackBound = 100 * time.Millisecond

// expectRead checks that a read has got an answer within a bound.
func (w *simulation) expectRead(reader *node, bound time.Duration) {
	configuration, document := w.reads.configurationAt(reader), w.reads.documentAt(reader)
	w.after(bound, func() {
		for _, read := range []*readResult{configuration, document} {
			if !read.replied || read.refused {
				w.violate("read_back", "%s has no answer after %v", reader.info.ID, bound)
			}
		}
	})
}

// expectNoRead checks that reads of a node that can't be sure are never answered.
func (w *simulation) expectNoRead(reader *node) {
	configuration, document := w.reads.configurationAt(reader), w.reads.documentAt(reader)
	w.after(readTimeout, func() {
		for _, read := range []*readResult{configuration, document} {
			if read.replied && !read.refused {
				w.violate("read_refused", "%s shows revision %d, version %d while it is cut off", reader.info.ID, read.revision, read.version)
			}
		}
	})
}

// isolate cuts a node off from all others for a while.
func (w *simulation) isolate(one *node, length time.Duration) {
	w.network.isolate(one)
	w.after(length, func() { w.network.reconnect(one) })
}

// readsWhileCutOff has a node cut off, something acknowledged without it, and
// reads at it.
func readsWhileCutOff(world *simulation, victim func() *node) {
	world.startAll()
	world.at(7*second, func() {
		cut := victim()
		world.isolate(cut, 14*second)
		// The others may have to elect another leader first.
		world.after(4*second, func() {
			other := pick(world.randomness, lo.Without(world.machines.withDisks(), cut))
			document := world.operators.changedDocumentOrder(other.view.Configuration)
			world.operators.issueAt(other, document)
			world.checkAcknowledged(document, failOpenAcknowledge)
			world.after(failOpenAcknowledge, func() { world.expectNoRead(cut) })
		})
	})
	world.at(21*second+failOpenContact, func() {
		for _, one := range world.machines.nodes {
			world.expectRead(one, readBackBound)
		}
	})
}

var _ = Describe("Reads of the configuration", func() {
	victims := []struct {
		name string
		of   func(*simulation) *node
	}{
		{"a node without a disk", (*simulation).router},
		{"the leader", (*simulation).leaderOfConfiguration},
		{"a follower", func(world *simulation) *node {
			return pick(world.randomness, lo.Without(world.machines.withDisks(), world.leaderOfConfiguration()))
		}},
	}
	for _, victim := range victims {
		It("are refused by "+victim.name+" that is cut off, and never older than what was acknowledged", func() {
			playAll(func(world *simulation) { readsWhileCutOff(world, func() *node { return victim.of(world) }) })
		})

		It("of "+victim.name+" that is cut off are seen to be older when it answers by what it holds", func() {
			world := playFailOpenWithout(BreakReadsOwnView, 1, func(world *simulation) {
				readsWhileCutOff(world, func() *node { return victim.of(world) })
			})
			Expect(lo.Map(world.violations, func(one Violation, _ int) checker.Name { return one.Invariant })).
				To(ContainElements(checker.Name("read_never_older"), checker.Name("read_refused")))
		})
	}
})

var _ = Describe("A core that is cut in two halves", func() {
	It("shows nothing older, takes one of two racing changes at most, and is whole again in time", func() {
		playAll(func(world *simulation) {
			world.startAll()
			world.at(7*second, func() {
				disks := world.machines.withDisks()
				one, other := disks[:len(disks)/2], disks[len(disks)/2:]
				world.network.changeBlocked(one, other, 1)
				world.network.changeBlocked(other, one, 1)
				for round := range 5 {
					world.after(time.Duration(round)*second, func() { world.faults.core.raceAcross(one, other) })
				}
				world.after(6*second, func() {
					world.network.changeBlocked(one, other, -1)
					world.network.changeBlocked(other, one, -1)
				})
			})
			world.at(13*second+failOpenContact, func() {
				for _, one := range world.machines.nodes {
					world.expectRead(one, readBackBound)
				}
				world.expectAcknowledged(world.operators.addKey(0))
			})
		})
	})

	It("acknowledges nothing while neither half has a majority, and shows nothing older", func() {
		playAll(func(world *simulation) {
			world.startAll()
			world.at(6*second, func() {
				// Another voter makes their number even.
				added := world.machines.add(zoneName(0))
				added.start()
				world.after(promotionBound, func() {
					disks := world.machines.withDisks()
					if !world.groups.isVoterEverywhere(added) || len(disks)%2 != 0 {
						world.violate("even", "%d nodes with disks", len(disks))
					}
					one, other := disks[:len(disks)/2], disks[len(disks)/2:]
					world.network.changeBlocked(one, other, 1)
					world.network.changeBlocked(other, one, 1)
					world.after(3*second, func() {
						world.faults.core.raceAcross(one, other)
						acknowledged := world.checks.acknowledged
						world.after(2500*time.Millisecond, func() {
							if world.checks.acknowledged > acknowledged {
								world.violate("no_majority", "revision %d was acknowledged by half of the core", world.checks.acknowledged)
							}
							world.network.changeBlocked(one, other, -1)
							world.network.changeBlocked(other, one, -1)
						})
					})
				})
			})
			world.at(20*second, func() { world.expectAcknowledged(world.operators.addKey(0)) })
		})
	})

	for _, failOpen := range []bool{false, true} {
		for _, mechanism := range []Break{BreakReadsOwnView, BreakNoCompareAndSet} {
			It("shows that "+string(mechanism)+" is switched off"+lo.Ternary(failOpen, ", where nodes fail open", ""), func() {
				campaign := Campaign{
					First: 1, Last: 20, Virtual: DefaultVirtual, Break: mechanism, FailOpen: failOpen,
					Faults: []string{"core-split"}, Jobs: testJobs, StopAfter: 1,
				}
				Expect(campaign.Run().Failures).NotTo(BeEmpty())
			})
		}

		It("breaks nothing in random runs"+lo.Ternary(failOpen, ", where nodes fail open", ""), func() {
			campaign := Campaign{
				First: 7001, Last: 7010, Virtual: MinVirtual + 10*time.Second, FailOpen: failOpen,
				Faults: []string{"core-split"}, Jobs: testJobs,
			}
			Expect(campaign.Run().Failures).To(BeEmpty())
		})
	}
})
