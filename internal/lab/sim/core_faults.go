package sim

import (
	"time"

	"github.com/samber/lo"
)

// splitRaces is the number of pairs of changes that race during one split.
const splitRaces = 3

// coreFaults split the core, or take the disks of a majority of it.
type coreFaults struct {
	env       *environment
	machines  *machines
	groups    *shardGroups
	network   *network
	operators *operators
	reads     *operatorReads
	checks    *checks
	partition *networkFaults
	disks     *diskFaults
	loss      *majorityLoss
}

// majorityLoss tells whether the disks of a majority are lost at present.
type majorityLoss struct {
	// active is set from the loss until the replica groups have been formed again,
	// and since is when the disks were lost.
	active bool
	since  time.Duration
}

// split partitions the core into two halves, while all other nodes and the
// operators reach both, and has operators race across the partition.
func (f *coreFaults) split() {
	disks := f.machines.withDisks()
	f.env.random.Shuffle(len(disks), func(i, j int) { disks[i], disks[j] = disks[j], disks[i] })
	one, other := disks[:len(disks)/2], disks[len(disks)/2:]
	f.partition.partitionFor(one, other, true)
	for range splitRaces {
		f.env.after(f.env.upTo(4*time.Second), func() { f.raceAcross(one, other) })
	}
}

// raceAcross issues two changes on the same base, one on each side of a
// partition, and reads on both sides.
func (f *coreFaults) raceAcross(sides ...[]*node) {
	if f.env.inRecoveryPhase() {
		return
	}
	base, read := f.operators.readRevision(), f.operators.readConfiguration()
	for _, side := range sides {
		running := lo.Filter(side, func(one *node, _ int) bool { return one.up })
		if len(running) == 0 {
			continue
		}
		order := f.operators.randomChange(base)
		if f.env.settings.FailOpen {
			order = f.operators.changedDocumentOrder(read)
		}
		target := pick(f.env.randomness, running)
		f.operators.issueAt(target, order)
		f.env.after(f.env.upTo(time.Second), func() {
			f.reads.configurationAt(target)
			f.reads.documentAt(target)
		})
	}
}

// loseMajority takes the disks of a majority, or all of them, at one instant at
// which everything else is healthy. In some runs a member that keeps its disk has
// missed the last order, so that only witnesses hold it.
func (f *coreFaults) loseMajority() {
	const timeout = 8 * time.Second
	f.whenHealthy(timeout, func() {
		f.loss.active = true
		// What was shown and never acknowledged may go with the disks.
		f.checks.shownRevision = 0
		if f.env.chance(0.5) {
			f.loseDisksOf(f.env.random.Perm(len(f.machines.group))[:f.lossSize()])
			return
		}
		f.loseAllButStale()
	})
}

// lossSize returns a random number of disks that is at least a majority.
func (f *coreFaults) lossSize() int {
	majority := len(f.machines.group)/2 + 1
	return majority + f.env.random.IntN(len(f.machines.group)-majority+1)
}

// loseAllButStale isolates one member, and takes the disks of all others as soon
// as an order is acknowledged without it.
func (f *coreFaults) loseAllButStale() {
	positions := f.env.random.Perm(len(f.machines.group))
	late := f.machines.nodes[positions[0]]
	f.network.isolate(late)
	f.env.after(1500*time.Millisecond, func() {
		order := f.operators.addKey(0)
		f.operators.issue(order)
		f.operators.whenAcknowledged(order, func() {
			f.loseDisksOf(positions[1:])
			f.network.reconnect(late)
		}, func() {
			f.loss.active = false
			f.network.reconnect(late)
		})
	})
}

// loseDisksOf replaces machines, the first of them at its address: nodes without
// disks could not find any of the others otherwise. While the groups are formed
// again, a member may crash, and another disk may be lost.
func (f *coreFaults) loseDisksOf(positions []int) {
	const reformationTime = 5 * time.Second
	f.loss.since = f.env.now
	for number, position := range positions {
		f.disks.replaceAt(f.machines.nodes[position], number > 0 && f.env.chance(0.5))
	}
	victim := pick(f.env.randomness, f.machines.withDisks())
	switch roll := f.env.random.IntN(3); {
	case f.env.now+reformationTime > f.env.settings.recoveryPhaseStart():
	case roll == 0:
		f.env.after(f.env.upTo(reformationTime), func() { victim.restartAfter(f.env.faultDuration(100*time.Millisecond, time.Second)) })
	case roll == 1:
		f.env.after(f.env.upTo(reformationTime), func() { f.disks.replaceAt(victim, false) })
	}
	f.awaitAllVoters(f.env.now + reformationTime)
}

// awaitAllVoters ends the loss of a majority once all members vote again in every
// shard.
func (f *coreFaults) awaitAllVoters(from time.Duration) {
	const pollInterval = 20 * time.Millisecond
	formedAnew := func() bool {
		if !f.groups.everyMemberIsVoter() {
			return false
		}
		f.env.logf(worldColumn, "formed anew")
		f.loss.active = false
		f.env.counts.Faults["majority-recovered"]++
		return true
	}
	f.env.at(from, func() { f.env.poll(pollInterval, formedAnew) })
}

// whenHealthy runs an action at the first instant, up to a time-out, at which all
// nodes serve what was acknowledged and can reach each other.
func (f *coreFaults) whenHealthy(timeout time.Duration, then func()) {
	const pollInterval = 20 * time.Millisecond
	deadline := min(f.env.now+timeout, f.env.settings.recoveryPhaseStart()-time.Second)
	f.env.poll(pollInterval, func() bool {
		switch {
		case f.env.now >= deadline:
		case f.healthy():
			then()
		default:
			return false
		}
		return true
	})
}

// healthy reports whether all members vote, and all nodes serve what was
// acknowledged and can reach each other.
func (f *coreFaults) healthy() bool {
	if f.loss.active || !f.groups.everyMemberIsVoter() {
		return false
	}
	for _, one := range f.machines.nodes {
		if !one.serving() || one.view.Revision < f.checks.acknowledged || lo.Sum(f.network.blocked[one.index]) > 0 {
			return false
		}
	}
	return true
}
