package sim

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// faultsDuringMajorityLoss are the faults that may begin while the disks of a majority are
// lost. The others might take away the last node that holds what was
// acknowledged, after which nobody could bring it back.
var faultsDuringMajorityLoss = []string{
	"slow-disk", "message-storm", "config-storm", "weights-overtaken", "stuck-commands",
	"replica-crash", "replica-listing", "platform-lag",
}

// loseMajority takes the disks of a majority, or all of them, at one instant at
// which everything else is healthy. In some runs a member that keeps its disk has
// missed the last order, so that only witnesses hold it.
func (w *simulation) loseMajority() {
	const timeout = 8 * time.Second
	w.whenHealthy(timeout, func() {
		w.majorityLost = true
		// What was shown and never acknowledged may go with the disks.
		w.checks.shownRevision = 0
		if w.chance(0.5) {
			w.loseDisksOf(w.random.Perm(len(w.group))[:w.lossSize()])
			return
		}
		w.loseAllButStale()
	})
}

// lossSize returns a random number of disks that is at least a majority.
func (w *simulation) lossSize() int {
	majority := len(w.group)/2 + 1
	return majority + w.random.IntN(len(w.group)-majority+1)
}

// loseAllButStale isolates one member, and takes the disks of all others as soon
// as an order is acknowledged without it.
func (w *simulation) loseAllButStale() {
	positions := w.random.Perm(len(w.group))
	late := w.nodes[positions[0]]
	w.network.changeBlocked([]*node{late}, w.nodes, 1)
	w.network.changeBlocked(w.nodes, []*node{late}, 1)
	w.after(1500*time.Millisecond, func() {
		order := w.operators.addKey(0)
		w.operators.issue(order)
		w.whenAcknowledged(order, func() {
			w.loseDisksOf(positions[1:])
			w.reconnect(late)
		}, func() {
			w.majorityLost = false
			w.reconnect(late)
		})
	})
}

// loseDisksOf replaces machines, the first of them at its address: nodes without
// disks could not find any of the others otherwise. While the groups are formed
// again, a member may crash, and another disk may be lost.
func (w *simulation) loseDisksOf(positions []int) {
	const reformationTime = 5 * time.Second
	w.majorityLostAt = w.now
	for number, position := range positions {
		w.replaceMachineAt(w.nodes[position], number > 0 && w.chance(0.5))
	}
	victim := pick(w, w.diskNodes())
	switch roll := w.random.IntN(3); {
	case w.now+reformationTime > w.settings.recoveryPhaseStart():
	case roll == 0:
		w.after(w.upTo(reformationTime), func() { w.restartAfter(victim, w.faultDuration(100*time.Millisecond, time.Second)) })
	case roll == 1:
		w.after(w.upTo(reformationTime), func() { w.replaceMachineAt(victim, false) })
	}
	w.awaitAllVoters(w.now + reformationTime)
}

// awaitAllVoters ends the loss of a majority once all members vote again in every
// shard.
func (w *simulation) awaitAllVoters(from time.Duration) {
	const pollInterval = 20 * time.Millisecond
	var poll func()
	poll = func() {
		if w.everyMemberIsVoter() {
			w.logf(worldColumn, "formed anew")
			w.majorityLost = false
			w.counts.Faults["majority-recovered"]++
			return
		}
		w.after(pollInterval, poll)
	}
	w.at(from, poll)
}

// everyMemberIsVoter reports whether the leader of every shard knows all members
// as voters in the present incarnations of their disks.
func (w *simulation) everyMemberIsVoter() bool {
	for shard := range w.serviceShards + 1 {
		slots, known := w.memberSlots(shard)
		if !known || !lo.EveryBy(slots, func(slot replication.Slot) bool {
			return !slot.Learner && w.nodeNamed(slot.ID).storage.incarnation == slot.Incarnation
		}) {
			return false
		}
	}
	return true
}

// whenHealthy runs an action at the first instant, up to a time-out, at which all
// nodes serve what was acknowledged and can reach each other.
func (w *simulation) whenHealthy(timeout time.Duration, then func()) {
	const pollInterval = 20 * time.Millisecond
	deadline := min(w.now+timeout, w.settings.recoveryPhaseStart()-time.Second)
	var poll func()
	poll = func() {
		switch {
		case w.now >= deadline:
		case w.healthy():
			then()
		default:
			w.after(pollInterval, poll)
		}
	}
	poll()
}

func (w *simulation) healthy() bool {
	if w.majorityLost || !w.everyMemberIsVoter() {
		return false
	}
	for _, one := range w.nodes {
		if !one.serving() || one.view.Revision < w.checks.acknowledged || lo.Sum(w.network.blocked[one.index]) > 0 {
			return false
		}
	}
	return true
}
