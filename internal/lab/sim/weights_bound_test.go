package sim

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
)

// playWeights plays a script, with several seeds, in fail-open deployments whose replicas
// finish their requests first. No request may begin on older weights after the bound.
func playWeights(virtual time.Duration, script func(*simulation)) {
	for seed := uint64(1); seed <= 8; seed++ {
		world := playWith(Settings{Seed: seed, Virtual: virtual, FailOpen: true, FinishFirst: true}, func(world *simulation) {
			world.startAll()
			script(world)
		})
		ExpectWithOffset(1, world.violations).To(BeEmpty(), "seed %d", seed)
	}
}

// nameWeightsOfChat names a version for the pool that the scripts roll out.
func (w *simulation) nameWeightsOfChat() { w.operators.issue(w.operators.nameWeights(0, poolNames[0])) }

// moveLeaderOfChat has the leader of the pool's shard hand it over, as after a hiccup that
// nobody outside notices.
func (w *simulation) moveLeaderOfChat() {
	if leader := w.groups.leaderOf(poolNames[0]); leader != nil {
		leader.post(leader.process, leader.machine.TransferLeadership)
	}
}

// repeat runs an action periodically in a span of the run.
func (w *simulation) repeat(from, to, period time.Duration, action func()) {
	for at := from; at < to; at += period {
		w.at(at, action)
	}
}

var _ = Describe("No request begins on older weights after the bound", func() {
	It("when versions are named before the last one is everywhere", func() {
		playWeights(DefaultVirtual, func(world *simulation) {
			world.repeat(8*second, 28*second, 1500*time.Millisecond, world.nameWeightsOfChat)
		})
	})

	It("when the leader of the roll-out moves again and again", func() {
		playWeights(DefaultVirtual, func(world *simulation) {
			world.at(8*second, world.nameWeightsOfChat)
			world.repeat(8*second, 28*second, 3*second, world.moveLeaderOfChat)
		})
	})

	It("when the leader moves late in the roll-out, and nodes restart after that", func() {
		playWeights(DefaultVirtual, func(world *simulation) {
			world.at(8*second, world.nameWeightsOfChat)
			world.repeat(8200*time.Millisecond, 17*second, 4*second, world.moveLeaderOfChat)
			world.at(14*second, func() { world.router().restartAfter(100 * time.Millisecond) })
		})
	})

	It("when the core is restarted again and again", func() {
		playWeights(80*second, func(world *simulation) {
			world.at(8*second, world.nameWeightsOfChat)
			world.repeat(9*second, 48*second, 6*second, func() {
				for _, one := range world.machines.withDisks() {
					one.restartAfter(world.upTo(300 * time.Millisecond))
				}
			})
		})
	})

	It("although versions are named in a row for long, and the pool goes on admitting requests", func() {
		const instants = 100
		playWeights(DefaultVirtual, func(world *simulation) {
			world.repeat(8*second, 30*second, 1500*time.Millisecond, world.nameWeightsOfChat)
			admitting := 0
			world.repeat(20*second, 30*second, 10*second/instants, func() {
				if admits(world.router().view, poolNames[0]) {
					admitting++
				}
			})
			world.at(30*second, func() {
				if admitting < instants {
					world.violate("admits", "the pool admitted requests at %d of %d instants", admitting, instants)
				}
			})
		})
	})

	// Guards against a pool that returns to the configuration without the version that was
	// named for its model, or with one whose time begins anew (review/6).
	DescribeTable("when the pool leaves the configuration once the version is acknowledged, and returns",
		func(absent time.Duration) {
			playWeights(DefaultVirtual, func(world *simulation) {
				world.at(8*second, func() {
					named := world.operators.nameWeights(0, poolNames[0])
					world.operators.issue(named)
					failed := func() { world.violate("acknowledged", "an order was not acknowledged in the calm") }
					world.operators.whenAcknowledged(named, func() {
						full := world.router().view.Configuration
						left := world.operators.withoutPoolOrder(full, poolNames[0])
						world.operators.issue(left)
						world.operators.whenAcknowledged(left, func() {
							world.after(absent, func() {
								world.operators.issue(world.operators.replacedDocumentOrder(world.router().view.Configuration, full))
							})
						}, failed)
					}, failed)
				})
				world.at(28*second, func() {
					if !admits(world.router().view, poolNames[0]) {
						world.violate("admits", "the pool admits no request after it has returned")
					}
				})
			})
		},
		Entry("before the deadline", 2*second),
		Entry("after the deadline", 14*second),
	)

	DescribeTable("under random faults",
		func(seed uint64) {
			summary := Campaign{
				First: seed, Last: seed, Virtual: DefaultVirtual, Jobs: 1, FinishFirst: true, FailOpen: true,
			}.Run()
			Expect(summary.Failures).To(BeEmpty())
		},
		Entry("with several versions named in a row, before any fault", uint64(384)),
		Entry("with versions named while a replica and a node are down", uint64(276)),
	)
})

var _ = Describe("Spans of calm", func() {
	It("are measured from an instant, and summed up when they are long enough", func() {
		spans := &calmSpans{}
		for now := time.Duration(0); now <= 10*second; now += 100 * time.Millisecond {
			spans.record(now, !lo.Contains([]time.Duration{3 * second, 4 * second}, now))
		}
		Expect(spans.spans).To(HaveLen(3))
		Expect(spans.current(0)).To(Equal(10*second - 4100*time.Millisecond))
		Expect(spans.current(9 * second)).To(Equal(second))
		Expect(spans.total(0)).To(Equal(2900*time.Millisecond + 5900*time.Millisecond))
		spans.record(11*second, false)
		Expect(spans.current(0)).To(BeZero())
	})
})
