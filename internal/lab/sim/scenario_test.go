package sim

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

// play runs a deployment without random faults and orders: what goes wrong is
// what the script plans.
func play(seed uint64, script func(*simulation)) *simulation {
	world := newSimulation(Settings{Seed: seed, Virtual: DefaultVirtual})
	world.build()
	world.scheduleStart()
	world.at(firstOrderAt, func() { world.operators.issue(world.operators.applyFirst()) })
	script(world)
	world.recovery.schedule()
	world.runUntil(world.settings.Virtual)
	world.checks.finish()
	return world
}

// router is a node without a disk.
func (w *simulation) router() *node { return w.machines.nodes[len(w.machines.nodes)-1] }

const second = time.Second

var _ = Describe("A deployment", func() {
	It("takes nodes back while every disk is slower than their patience", func() {
		for seed := uint64(1); seed <= 8; seed++ {
			world := play(seed, func(world *simulation) {
				world.at(5*second, func() {
					for _, one := range world.machines.withDisks() {
						one.storage.slow = 500 * time.Millisecond
					}
				})
				world.at(6*second, func() { world.router().restartAfter(100 * time.Millisecond) })
				world.at(14*second, func() { Expect(world.router().serving()).To(BeTrue(), "seed %d", seed) })
				world.at(15*second, func() {
					for _, one := range world.machines.withDisks() {
						one.storage.slow = 0
					}
				})
			})
			Expect(world.violations).To(BeEmpty(), "seed %d", seed)
		}
	})

	It("admits nothing by a platform list from before a freeze", func() {
		for seed := uint64(1); seed <= 8; seed++ {
			world := play(seed, func(world *simulation) {
				world.at(6*second, func() { world.router().freeze(8 * second) })
				world.at(7*second, func() {
					drained := world.platform.entries()[0]
					world.platform.change(func() { drained.draining = true })
				})
			})
			Expect(world.violations).To(BeEmpty(), "seed %d", seed)
		}
	})

	It("does not go back to replaced weights by a late command of the same leader", func() {
		var late control.Command
		world := play(2, func(world *simulation) {
			world.at(5*second, func() { world.operators.issue(world.operators.nameWeights(0, poolNames[0])) })
			world.at(15*second, func() {
				first := world.checks.commands[0]
				late = control.Command{Address: first.Replica, Token: first.Epoch, WeightVersion: first.WeightVersion}
				world.operators.issue(world.operators.nameWeights(0, poolNames[0]))
			})
			world.at(28*second, func() {
				target := world.platform.replicas[late.Address]
				Expect(target.version).NotTo(Equal(late.WeightVersion))
				target.handleCommand(world.machines.nodes[0], late)
			})
		})
		Expect(world.counts.StaleCommands).To(BeEquivalentTo(1))
		Expect(world.violations).To(BeEmpty())
	})

	It("takes a replica back that came back twice with weights that nobody ordered", func() {
		for seed := uint64(1); seed <= 6; seed++ {
			world := play(seed, func(world *simulation) {
				world.at(5*second, func() { world.operators.issue(world.operators.nameWeights(0, poolNames[0])) })
				world.at(15*second, func() {
					target := world.platform.entries()[0].replica
					Expect(target.version).NotTo(Equal(firstWeights))
					// No node reads a report in between.
					for range 2 {
						target.crash()
						target.restart(firstWeights)
					}
					Expect(target.unorderedWeights).To(BeTrue(), "seed %d", seed)
				})
				world.at(25*second, func() {
					target := world.platform.entries()[0].replica
					Expect(target.version).NotTo(Equal(firstWeights))
					Expect(target.unorderedWeights).To(BeFalse(), "seed %d: ordered weights", seed)
				})
			})
			Expect(world.violations).To(BeEmpty(), "seed %d", seed)
		}
	})

	It("loads no weights while a request of a life that a node has just ended is on its way", func() {
		for seed := uint64(1); seed <= 12; seed++ {
			world := play(seed, func(world *simulation) {
				// The node hears of no order, and its next process is known to the others as
				// soon as its fence ends this one.
				world.at(6*second, func() { world.faults.network.partitionFor(world.machines.nodes, []*node{world.router()}, false) })
				for _, pool := range poolNames {
					world.at(6*second+10*time.Millisecond, func() { world.operators.issue(world.operators.nameWeights(0, pool)) })
				}
			})
			Expect(world.violations).To(BeEmpty(), "seed %d", seed)
		}
	})

	It("never gives the answer to an order of an earlier life to a new one", func() {
		world := play(3, func(world *simulation) {
			taker, silent := world.router(), world.machines.nodes[len(world.machines.nodes)-2]
			world.at(6*second, func() { silent.freeze(5 * second) })
			world.at(6100*time.Millisecond, func() { world.operators.issueAt(taker, world.operators.addKey(0)) })
			world.at(6200*time.Millisecond, func() { taker.restartAfter(10 * time.Millisecond) })
			world.at(6500*time.Millisecond, func() {
				// One of them has the number that the first order had in its process.
				for range 16 {
					world.operators.issueAt(taker, world.operators.addKey(0))
				}
			})
		})
		Expect(world.violations).To(BeEmpty())
	})

	It("acknowledges again after a power loss from which one wall clock came back early", func() {
		world := play(4, func(world *simulation) {
			world.at(6*second, func() {
				world.router().clock.wallOffset = -time.Hour
				for _, one := range world.machines.nodes {
					one.restartAfter(second)
				}
			})
		})
		Expect(world.violations).To(BeEmpty())
	})
})

var _ = Describe("A deployment with one replica of a pool outside the evacuated zones", func() {
	It("serves again in time when weights are named anew while that replica loads others", func() {
		for _, namedAt := range []time.Duration{38 * time.Second, 38500 * time.Millisecond} {
			world := newSimulation(Settings{Seed: 3, Virtual: DefaultVirtual, FinishFirst: true})
			world.build()
			world.scheduleStart()
			world.at(firstOrderAt, func() { world.operators.issue(world.operators.applyFirst()) })
			world.at(20*second, func() {
				for number := range 3 {
					world.operators.issue(world.operators.evacuate(0, zoneName(number+1)))
				}
			})
			world.at(namedAt, func() { world.operators.issue(world.operators.nameWeights(0, poolNames[0])) })
			// The recovery phase names other weights while the last replica is out.
			world.recovery.schedule()
			world.runUntil(world.settings.Virtual)
			world.checks.finish()
			Expect(world.violations).To(BeEmpty(), "named at %v", namedAt)
		}
	})
})
