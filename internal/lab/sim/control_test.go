package sim

import (
	"math"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// latestWeights is the time without faults, from the naming and from its start,
// within which no replica keeps an older version.
const latestWeights = finishFirstBound * 3 / 2

// stragglers names weights, and has a replica join late, one come back with the old
// version after the roll-out, and one that ignores its first commands.
func stragglers(world *simulation, commandsToDrop int) {
	world.startAll()
	ofPool := lo.Filter(world.platform.entries(), func(entry *endpoint, _ int) bool { return entry.replica.pool == poolNames[0] })
	late, returns, ignoring := ofPool[0], ofPool[1].replica, ofPool[2].replica
	old := late.replica.version
	ignoring.commandsToDrop = commandsToDrop
	world.at(2*second, func() { world.platform.change(func() { late.removed = true }) })
	world.at(7*second, func() {
		named := world.operators.nameWeights(0, poolNames[0])
		world.expectAcknowledged(named)
		stray := 16*second + world.upTo(second)
		world.at(stray, func() {
			world.platform.change(func() { late.removed = false })
			returns.crash()
			returns.restart(old)
		})
		world.at(stray+latestWeights, func() { world.checkNoneOlder(poolNames[0], named.change.WeightVersion) })
	})
}

// checkNoneOlder checks that no replica of a pool runs an older version.
func (w *simulation) checkNoneOlder(pool, version string) {
	wanted, err := strconv.Atoi(version)
	Expect(err).NotTo(HaveOccurred())
	for _, entry := range w.platform.entries() {
		running, err := strconv.Atoi(entry.replica.version)
		if entry.replica.pool == pool && (err != nil || running < wanted) {
			w.violate("none_older", "%s runs %q though %s was named", entry.replica.address, entry.replica.version, version)
		}
	}
}

// names are the names of the invariants that did not hold.
func names(world *simulation) []checker.Name {
	return lo.Map(world.violations, func(one Violation, _ int) checker.Name { return one.Invariant })
}

var _ = Describe("Weights that were named", func() {
	for _, failOpen := range []bool{false, true} {
		It("reach a replica that joins late, one that comes back with older ones, and one whose commands are refused or lost"+lo.Ternary(failOpen, ", where nodes fail open", ""), func() {
			for seed := uint64(1); seed <= 6; seed++ {
				world := playWith(Settings{Seed: seed, Virtual: DefaultVirtual, FinishFirst: true, FailOpen: failOpen},
					func(world *simulation) { stragglers(world, 4) })
				Expect(world.violations).To(BeEmpty(), "seed %d", seed)
			}
		})
	}

	It("are seen not to reach a replica that no command reaches", func() {
		world := playWith(Settings{Seed: 1, Virtual: DefaultVirtual, FinishFirst: true, FailOpen: true},
			func(world *simulation) { stragglers(world, math.MaxInt) })
		Expect(names(world)).To(ContainElement(checker.Name("none_older")))
	})
})

// evacuateUnder evacuates a zone during a cut and ends all nodes, as when the power
// fails, as soon as the evacuation is acknowledged.
func evacuateUnder(world *simulation, isolate func(*simulation)) {
	world.startAll()
	world.at(7*second, func() {
		isolate(world)
		world.after(world.upTo(2*second), func() {
			zone := world.machines.nodes[0].info.Zone
			order := world.operators.evacuate(0, zone)
			world.operators.issue(order)
			world.awaitEvacuation(order, func() {
				for _, one := range world.machines.nodes {
					one.restartAfter(world.upTo(second))
				}
				for _, one := range world.machines.withDisks() {
					one.storage.slow = 0
				}
				world.after(RecoveryBound, func() { world.checkEvacuated(zone) })
			})
		})
	})
}

// awaitEvacuation goes on once an evacuation is acknowledged, during the cut or after.
func (w *simulation) awaitEvacuation(order *operatorOrder, then func()) {
	const pollInterval = time.Millisecond
	if order.finished && order.outcome == checker.OutcomeAcknowledged {
		then()
		return
	}
	if w.inRecoveryPhase() {
		w.violate("acknowledged", "the evacuation was never acknowledged")
		return
	}
	w.after(pollInterval, func() { w.awaitEvacuation(order, then) })
}

// checkEvacuated checks that every node knows that a zone is evacuated.
func (w *simulation) checkEvacuated(zone string) {
	for _, one := range w.machines.nodes {
		if one.view == nil || len(one.view.Configuration.GetEvacuations()) != 1 || one.view.Configuration.GetEvacuations()[0].GetZone() != zone {
			w.violate("evacuation_kept", "%s does not evacuate %s", one.info.ID, zone)
		}
	}
}

var _ = Describe("An evacuation", func() {
	cuts := []struct {
		name string
		cut  func(*simulation)
	}{
		{"the core is cut in two halves", func(world *simulation) {
			disks := world.machines.withDisks()
			world.faults.network.partitionFor(disks[:len(disks)/2], disks[len(disks)/2:], true)
		}},
		{"the leader is cut off", func(world *simulation) {
			world.faults.network.partitionFor([]*node{world.leaderOfConfiguration()}, world.machines.nodes, true)
		}},
		{"a zone is cut off", func(world *simulation) { world.faults.network.isolateZone() }},
		{"no message of a node with a disk arrives", func(world *simulation) {
			world.faults.network.partitionFor([]*node{pick(world.randomness, world.machines.withDisks())}, world.machines.nodes, false)
		}},
	}
	for _, one := range cuts {
		It("that is acknowledged while "+one.name+" outlasts a loss of all processes", func() {
			playAll(func(world *simulation) { evacuateUnder(world, one.cut) })
		})
	}

	It("is seen to be lost when it is acknowledged before it is synced", func() {
		world := playFailOpenWithout(BreakAckBeforeSync, 1, func(world *simulation) {
			evacuateUnder(world, func(world *simulation) {
				cuts[0].cut(world)
				for _, one := range world.machines.withDisks() {
					one.storage.slow = 5 * second
				}
			})
		})
		// Nodes admit by a revision from before it, from the first request after the loss on, and
		// also when they are in contact.
		Expect(names(world)).To(ContainElements(checker.Name("older_after_outage"), checker.Name("in_force")))
	})
})

var _ = Describe("Two machines", func() {
	It("are replaced within the time in which the first one's successor gets its vote", func() {
		playAll(func(world *simulation) {
			world.startAll()
			for round := range 2 {
				world.at(7*second+time.Duration(round)*world.planned(promotionBound), func() { world.replaceWhenHealthy() })
			}
			world.at(20*second, func() {
				if !world.groups.everyMemberIsVoter() {
					world.violate("whole", "some node with a disk has no vote")
				}
				world.expectAcknowledged(world.operators.addKey(0))
			})
		})
	})
})

// replaceWhenHealthy replaces a machine as soon as a majority of the voters stays sound
// without it, by one that must get its vote in time.
func (w *simulation) replaceWhenHealthy() {
	const pollInterval = 10 * time.Millisecond
	victims := lo.Filter(w.faults.replacements.candidates(), func(one *node, _ int) bool { return w.groups.isVoterEverywhere(one) })
	if len(victims) == 0 {
		w.after(pollInterval, w.replaceWhenHealthy)
		return
	}
	victim := pick(w.randomness, victims)
	w.machines.remove(victim)
	added := w.machines.add(victim.info.Zone)
	added.start()
	w.after(promotionBound, func() {
		// It may have been the next one to go.
		if !added.removed && !w.groups.isVoterEverywhere(added) {
			w.violate("vote_in_time", "%s has no vote %v after its start", added.info.ID, promotionBound)
		}
	})
}
