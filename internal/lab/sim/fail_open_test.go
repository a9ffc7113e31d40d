package sim

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// promptAcknowledge bounds an acknowledgement that waits for live nodes alone.
const promptAcknowledge = 300 * time.Millisecond

// playFailOpen runs a deployment that finds itself through seeds, without random
// faults and orders.
func playFailOpen(seed uint64, script func(*simulation)) *simulation {
	return playFailOpenWithout(BreakNone, seed, script)
}

// playFailOpenWithout is playFailOpen with a mechanism switched off.
func playFailOpenWithout(mechanism Break, seed uint64, script func(*simulation)) *simulation {
	return playWith(Settings{Seed: seed, Virtual: DefaultVirtual, FailOpen: true, Break: mechanism}, script)
}

// playWith runs a deployment of given settings.
func playWith(settings Settings, script func(*simulation)) *simulation {
	world := newSimulation(settings)
	world.build()
	world.connectivity.schedule()
	world.at(firstOrderAt, func() { world.operators.issue(world.operators.applyFirst()) })
	script(world)
	world.recovery.schedule()
	world.runUntil(world.settings.Virtual)
	world.checks.finish()
	return world
}

// playAll plays a script with several seeds, which must break nothing.
func playAll(script func(*simulation)) {
	for seed := uint64(1); seed <= 6; seed++ {
		world := playFailOpen(seed, script)
		ExpectWithOffset(1, world.violations).To(BeEmpty(), "seed %d", seed)
	}
}

// startAll starts all nodes in any order.
func (w *simulation) startAll() {
	for _, one := range w.machines.nodes {
		w.at(w.planned(startSpread), one.start)
	}
}

// startSpread is the longest time between the starts of two nodes.
const startSpread = 300 * time.Millisecond

// leaderOfConfiguration is the node that leads the configuration, or nil.
func (w *simulation) leaderOfConfiguration() *node {
	return w.groups.leaderOfShard(shardstate.ConfigurationShard)
}

// expectAcknowledged issues an order that must be acknowledged within
// failOpenAcknowledge.
func (w *simulation) expectAcknowledged(order *operatorOrder) {
	w.operators.issue(order)
	w.checkAcknowledged(order, failOpenAcknowledge)
}

// checkAcknowledged checks that an order is acknowledged within a bound from now.
func (w *simulation) checkAcknowledged(order *operatorOrder, bound time.Duration) {
	w.after(bound, func() {
		if order.outcome != checker.OutcomeAcknowledged {
			w.violate("acknowledged", "order %s has no acknowledgement after %v", order.content.GetOrderId(), bound)
		}
	})
}

var _ = Describe("A deployment that finds itself through seeds", func() {
	It("forms in any order of starts, also when one seed comes late", func() {
		for _, late := range []time.Duration{0, 4 * time.Second} {
			playAll(func(world *simulation) {
				world.startAll()
				if late > 0 {
					one := world.machines.nodes[world.plan.IntN(maxSeeds)]
					world.at(startSpread+time.Millisecond, one.stop)
					world.at(late, one.start)
				}
				world.at(4*second, func() {
					if one := world.leaderOfConfiguration(); one == nil {
						world.violate("formed", "nobody leads the configuration after %v", world.now)
					}
				})
			})
		}
	})

	It("is the same after all its nodes were killed at once, and keeps what was acknowledged", func() {
		playAll(func(world *simulation) {
			world.startAll()
			world.at(7*second, func() {
				order := world.operators.addKey(0)
				world.operators.issue(order)
				world.operators.whenAcknowledged(order, func() {
					for _, one := range world.machines.nodes {
						one.restartAfter(world.upTo(second))
					}
					// All serve by then, and nothing is gone.
					world.after(RecoveryBound, func() {
						for _, one := range world.machines.nodes {
							if !one.serving() || one.view.Revision < order.reply.GetRevision() {
								world.violate("recovered", "%s does not serve what was acknowledged", one.info.ID)
							}
						}
					})
				}, func() { world.violate("acknowledged", "an order was not acknowledged in the calm") })
			})
		})
	})

	It("takes a founder that lost its disk back with a vote, and never forms a second time", func() {
		playAll(func(world *simulation) {
			world.startAll()
			world.at(7*second, func() { world.faults.disks.replaceAt(world.machines.nodes[world.random.IntN(maxSeeds)], false) })
			world.at(7*second+2*second+promotionBound, func() {
				if !world.groups.everyMemberIsVoter() {
					world.violate("vote_regained", "a founder has no vote in its new life")
				}
			})
		})
	})

	It("gives a machine that replaces another a vote in time, planned or not, one after the other", func() {
		playAll(func(world *simulation) {
			world.startAll()
			for round := range 3 {
				world.at(time.Duration(7+6*round)*second, func() {
					victim := pick(world.randomness, world.machines.withDisks())
					var added *node
					if world.chance(0.5) {
						world.machines.remove(victim)
						added = world.machines.add(victim.info.Zone)
					} else {
						added = world.machines.add(victim.info.Zone)
						world.after(promotionBound, func() { world.faults.replacements.shutDownThen(victim, func() { world.machines.remove(victim) }) })
					}
					added.start()
					world.after(promotionBound, func() {
						if !world.groups.isVoterEverywhere(added) {
							world.violate("vote_in_time", "%s has no vote %v after its start", added.info.ID, promotionBound)
						}
					})
				})
			}
		})
	})

	It("loses no majority to machines that are about to go", func() {
		playAll(func(world *simulation) {
			world.startAll()
			world.at(7*second, func() {
				voters := len(world.machines.withDisks())
				for range (voters - 1) / 2 {
					victim := pick(world.randomness, world.faults.replacements.candidates())
					world.faults.replacements.shutDownThen(victim, func() { world.machines.remove(victim) })
				}
				if victims := world.faults.replacements.candidates(); len(victims) > 0 {
					world.violate("majority_kept", "%d of %d voters may go as well", len(victims), voters)
				}
				for range (voters - 1) / 2 {
					world.after(second, world.machines.add(zoneName(0)).start)
				}
			})
		})
	})

	It("goes on when the machine that replaces a lost one is lost at once", func() {
		playAll(func(world *simulation) {
			world.startAll()
			world.at(7*second, func() {
				world.machines.remove(pick(world.randomness, world.machines.withDisks()))
				added := world.machines.add("z1")
				added.start()
				world.after(world.upTo(2*second), func() { world.machines.remove(added) })
			})
			world.at(13*second, func() { world.expectAcknowledged(world.operators.addKey(0)) })
		})
	})
})

var _ = Describe("An operator of a deployment that fails open", func() {
	It("goes on to another node when one leaves it without an answer", func() {
		playAll(func(world *simulation) {
			world.startAll()
			var orders []*operatorOrder
			world.at(7*second, func() {
				cut := world.router()
				world.network.isolate(cut)
				for range 10 {
					order := world.operators.addKey(0)
					order.firstSent = world.now
					world.operators.orders = append(world.operators.orders, order)
					orders = append(orders, order)
					world.operators.submitTo(cut, order)
				}
				world.after(failOpenAcknowledge, func() { world.network.reconnect(cut) })
			})
			world.at(12*second, func() {
				for _, order := range orders {
					if len(order.submissions) < 2 {
						world.violate("sent_again", "order %s was sent once", order.content.GetOrderId())
					}
					for position, sent := range order.submissions[1:] {
						if sent.node == order.submissions[position].node {
							world.violate("another_node", "order %s went to %s twice in a row", order.content.GetOrderId(), sent.node.info.ID)
						}
					}
				}
			})
		})
	})
})

var _ = Describe("A deployment that fails open", func() {
	It("acknowledges in time while a node is dead, frozen or cut off, or has a bad disk, and after its leader was lost", func() {
		faults := []func(world *simulation, victim *node){
			func(_ *simulation, victim *node) { victim.stop() },
			func(_ *simulation, victim *node) { victim.freeze(15 * second) },
			func(world *simulation, victim *node) {
				world.faults.network.partitionFor([]*node{victim}, world.machines.nodes, true)
			},
			func(_ *simulation, victim *node) { victim.storage.slow = 150 * time.Millisecond },
			func(_ *simulation, victim *node) { victim.storage.disk.SetFull(true) },
		}
		for kind, fault := range faults {
			for _, ofLeader := range []bool{false, true} {
				for seed := uint64(1); seed <= 3; seed++ {
					world := playFailOpen(seed, func(world *simulation) {
						world.startAll()
						world.at(7*second, func() {
							victim := pick(world.randomness, world.machines.withDisks())
							if ofLeader {
								victim = world.leaderOfConfiguration()
							}
							fault(world, victim)
							world.connectivity.outOfContactAt[victim] = world.now
							world.after(world.upTo(2*second), func() { world.expectAcknowledged(world.operators.addKey(0)) })
							world.after(6*second, func() { world.expectAcknowledged(world.operators.addKey(0)) })
							world.at(20*second, func() {
								victim.storage.slow = 0
								victim.storage.disk.SetFull(false)
								victim.start()
							})
						})
					})
					Expect(world.violations).To(BeEmpty(), "fault %d leader %v seed %d", kind, ofLeader, seed)
				}
			}
		}
	})

	It("owes no acknowledgement while a disk is lost and another one is full, and gives it once the second one has room", func() {
		for seed := uint64(1); seed <= 6; seed++ {
			var open []*operatorOrder
			world := playFailOpen(seed, func(world *simulation) {
				world.startAll()
				world.at(7*second, func() {
					if len(world.machines.withDisks()) > 3 {
						return
					}
					followers := lo.Without(world.machines.withDisks(), world.leaderOfConfiguration())
					world.faults.disks.replaceAt(followers[0], false)
					followers[1].storage.disk.SetFull(true)
					followers[1].storage.full = true
					world.at(11*second, func() {
						order := world.operators.addKey(0)
						open = append(open, order)
						world.operators.issue(order)
					})
					world.at(16*second, func() {
						Expect(open[0].finished).To(BeFalse(), "a majority of the voters can't write")
						followers[1].storage.disk.SetFull(false)
						followers[1].storage.full = false
						world.checkAcknowledged(open[0], failOpenAcknowledge)
					})
				})
			})
			Expect(world.violations).To(BeEmpty(), "seed %d", seed)
		}
	})

	It("waits for no node that died shortly before all others started anew", func() {
		playAll(func(world *simulation) {
			world.startAll()
			world.at(7*second, func() {
				victim := world.router()
				others := lo.Without(world.machines.nodes, victim)
				victim.stop()
				for position, one := range others {
					world.after(time.Duration(position)*50*time.Millisecond, func() { one.restartAfter(10 * time.Millisecond) })
				}
			})
			for round := range 5 {
				world.at(time.Duration(13+round)*second, func() {
					order := world.operators.addKey(0)
					world.operators.issueAt(pick(world.randomness, world.machines.withDisks()), order)
					world.checkAcknowledged(order, promptAcknowledge)
				})
			}
			world.at(19*second, func() { world.router().start() })
		})
	})

	It("serves after a restart without a quorum, by what its peers hold", func() {
		playAll(func(world *simulation) {
			world.startAll()
			world.at(7*second, func() { world.operators.issue(world.operators.addKey(0)) })
			world.at(9*second, func() {
				disks := world.machines.withDisks()
				for _, one := range disks[:len(disks)/2+1] {
					one.stop()
				}
			})
			world.at(13*second, func() {
				newest := world.checks.acknowledged
				restarted := []*node{world.machines.nodes[len(world.machines.nodes)-1], world.machines.withDisks()[len(world.machines.withDisks())-1]}
				for _, one := range restarted {
					one.stop()
					one.start()
				}
				world.after(second, func() {
					for _, one := range restarted {
						if !one.serving() || one.view.Revision < newest {
							world.violate("serves_without_quorum", "%s does not serve revision %d", one.info.ID, newest)
						}
					}
				})
			})
			world.at(15*second, world.faults.end)
		})
	})

	It("goes on serving while it is cut off, and never goes back", func() {
		playAll(func(world *simulation) {
			world.startAll()
			world.at(7*second, func() {
				cut := world.router()
				world.network.isolate(cut)
				world.after(5*second, func() {
					if !cut.serving() {
						world.violate("fails_open", "%s does not serve while it is cut off", cut.info.ID)
					}
					world.network.reconnect(cut)
				})
			})
		})
	})

	It("brings an acknowledged state to all nodes in touch when a relay parent is lost", func() {
		playAll(func(world *simulation) {
			world.startAll()
			for round := range 4 {
				world.at(time.Duration(8+5*round)*second, func() {
					world.faults.processes.loseRelayParent()
					world.after(world.upTo(300*time.Millisecond), func() { world.operators.issue(world.operators.addKey(0)) })
				})
			}
		})
	})

	It("lets one of two operators win while the leader is cut off, and answers resends alike at any node", func() {
		playAll(func(world *simulation) {
			world.startAll()
			world.at(7*second, func() {
				leader := world.leaderOfConfiguration()
				world.faults.network.partitionFor([]*node{leader}, world.machines.nodes, true)
				read := world.operators.readConfiguration()
				first, other := world.operators.changedDocumentOrder(read), world.operators.changedDocumentOrder(read)
				for _, order := range []*operatorOrder{first, other} {
					order.firstSent = world.now
					world.operators.orders = append(world.operators.orders, order)
				}
				world.operators.submitTo(leader, first)
				world.after(world.upTo(second), func() { world.operators.submitTo(world.router(), other) })
				// The answer is lost on its way, so that the order is sent again.
				world.after(12*second, func() {
					world.operators.submitTo(world.router(), first)
					world.operators.submitTo(world.machines.withDisks()[0], other)
				})
			})
		})
	})
})
