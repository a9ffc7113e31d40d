package sim

import (
	"time"
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
func (f *faultInjector) loseMajority() {
	const timeout = 8 * time.Second
	f.whenHealthy(timeout, func() {
		f.majorityLost = true
		// What was shown and never acknowledged may go with the disks.
		f.world.checks.shownRevision = 0
		if f.world.chance(0.5) {
			f.loseDisksOf(f.world.random.Perm(len(f.world.group))[:f.lossSize()])
			return
		}
		f.loseAllButStale()
	})
}

// lossSize returns a random number of disks that is at least a majority.
func (f *faultInjector) lossSize() int {
	majority := len(f.world.group)/2 + 1
	return majority + f.world.random.IntN(len(f.world.group)-majority+1)
}

// loseAllButStale isolates one member, and takes the disks of all others as soon
// as an order is acknowledged without it.
func (f *faultInjector) loseAllButStale() {
	positions := f.world.random.Perm(len(f.world.group))
	late := f.world.nodes[positions[0]]
	f.world.network.changeBlocked([]*node{late}, f.world.nodes, 1)
	f.world.network.changeBlocked(f.world.nodes, []*node{late}, 1)
	f.world.after(1500*time.Millisecond, func() {
		order := f.world.operators.addKey(0)
		f.world.operators.issue(order)
		f.whenAcknowledged(order, func() {
			f.loseDisksOf(positions[1:])
			f.reconnect(late)
		}, func() {
			f.majorityLost = false
			f.reconnect(late)
		})
	})
}

// loseDisksOf replaces machines, the first of them at its address: nodes without
// disks could not find any of the others otherwise. While the groups are formed
// again, a member may crash, and another disk may be lost.
func (f *faultInjector) loseDisksOf(positions []int) {
	const reformationTime = 5 * time.Second
	f.majorityLostAt = f.world.now
	for number, position := range positions {
		f.replaceMachineAt(f.world.nodes[position], number > 0 && f.world.chance(0.5))
	}
	victim := pick(f.world, f.world.diskNodes())
	switch roll := f.world.random.IntN(3); {
	case f.world.now+reformationTime > f.world.settings.recoveryPhaseStart():
	case roll == 0:
		f.world.after(f.world.upTo(reformationTime), func() { f.restartAfter(victim, f.duration(100*time.Millisecond, time.Second)) })
	case roll == 1:
		f.world.after(f.world.upTo(reformationTime), func() { f.replaceMachineAt(victim, false) })
	}
	f.awaitAllVoters(f.world.now + reformationTime)
}

// awaitAllVoters ends the loss of a majority once all members vote again in every
// shard.
func (f *faultInjector) awaitAllVoters(from time.Duration) {
	const pollInterval = 20 * time.Millisecond
	var poll func()
	poll = func() {
		if f.world.everyMemberIsVoter() {
			f.world.logf(worldColumn, "formed anew")
			f.majorityLost = false
			f.world.counts.Faults["majority-recovered"]++
			return
		}
		f.world.after(pollInterval, poll)
	}
	f.world.at(from, poll)
}

// whenHealthy runs an action at the first instant, up to a time-out, at which all
// nodes serve what was acknowledged and can reach each other.
func (f *faultInjector) whenHealthy(timeout time.Duration, then func()) {
	const pollInterval = 20 * time.Millisecond
	deadline := min(f.world.now+timeout, f.world.settings.recoveryPhaseStart()-time.Second)
	var poll func()
	poll = func() {
		switch {
		case f.world.now >= deadline:
		case f.world.healthy():
			then()
		default:
			f.world.after(pollInterval, poll)
		}
	}
	poll()
}
