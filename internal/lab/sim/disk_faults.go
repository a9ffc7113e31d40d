package sim

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// slowDisk makes the writes of one node slow.
func (f *faultInjector) slowDisk() {
	victim := pick(f.world, f.world.diskNodes())
	victim.storage.slow = 20*time.Millisecond + f.world.upTo(700*time.Millisecond)
	f.world.after(f.duration(2*time.Second, 6*time.Second), func() { victim.storage.slow = 0 })
}

// losePowerAfterAck stops all core nodes as soon as an operator has an
// acknowledgement. The disks are slowed a little, so that writes are pending at
// that instant.
func (f *faultInjector) losePowerAfterAck() {
	const slow = 80 * time.Millisecond
	disks := f.world.diskNodes()
	for _, one := range disks {
		one.storage.slow = slow
	}
	restoreDisks := func() {
		for _, one := range disks {
			one.storage.slow = 0
		}
	}
	order := f.world.operators.addKey(0)
	f.world.operators.issue(order)
	f.whenAcknowledged(order, func() {
		for _, one := range disks {
			f.restartAfter(one, f.duration(100*time.Millisecond, 2*time.Second))
		}
		restoreDisks()
	}, restoreDisks)
}

// fullDisk makes a disk refuse all writes for a while.
func (f *faultInjector) fullDisk() {
	victim := pick(f.world, f.world.diskNodes())
	disk := victim.storage.disk
	disk.SetFull(true)
	victim.storage.full = true
	f.world.after(f.duration(time.Second, 4*time.Second), func() {
		disk.SetFull(false)
		victim.storage.full = false
	})
}

// loseDisk replaces a machine: its disk is empty, its clock starts from zero, and
// its address may change.
func (f *faultInjector) loseDisk() {
	victims := lo.Filter(f.world.diskNodes(), func(one *node, _ int) bool { return f.canLose(one) })
	if len(victims) > 0 {
		f.replaceMachine(pick(f.world, victims))
	}
}

// loseDisksAsPowerFails takes as many disks as the deployment tolerates right
// after an acknowledgement, while all other nodes lose power at the same instant.
// The nodes whose disks are lost come back at their addresses, at any time among
// the others.
func (f *faultInjector) loseDisksAsPowerFails() {
	order := f.world.operators.addKey(0)
	f.world.operators.issue(order)
	f.whenAcknowledged(order, func() {
		if f.majorityLost {
			return
		}
		victims := f.tolerableLoss()
		if len(victims) > 0 {
			f.world.counts.Faults["disks-lost-with-power-off"]++
		}
		for _, one := range f.world.nodes {
			switch {
			case lo.Contains(victims, one):
				f.replaceMachineAt(one, false)
			case !one.removed:
				f.restartAfter(one, f.duration(100*time.Millisecond, 2*time.Second))
			}
		}
	}, func() {})
}

// tolerableLoss returns, in random order, as many nodes as may lose their disks
// at one instant.
func (f *faultInjector) tolerableLoss() []*node {
	var victims []*node
	disks := f.world.diskNodes()
	for _, position := range f.world.random.Perm(len(disks)) {
		if one := disks[position]; one.up && f.canLose(append(victims, one)...) {
			victims = append(victims, one)
		}
	}
	return victims
}

// canLose reports whether every shard keeps a majority of its voters without the
// disks of some nodes. A voter whose disk was lost counts until it is replaced,
// and one that is about to leave counts as lost.
func (f *faultInjector) canLose(victims ...*node) bool {
	for shard := range f.world.serviceShards + 1 {
		slots, known := f.world.memberSlots(shard)
		if !known {
			return false
		}
		voters, healthy := 0, 0
		for _, slot := range slots {
			if slot.Learner {
				continue
			}
			voters++
			member := f.world.nodeNamed(slot.ID)
			if !lo.Contains(victims, member) && !member.removed && !member.leaving && member.storage.incarnation == slot.Incarnation {
				healthy++
			}
		}
		if 2*healthy <= voters {
			return false
		}
	}
	return true
}

// loseDiskTwice takes a second disk as soon as the first loss is repaired, that
// is, as soon as the shards can do without any one disk again.
func (f *faultInjector) loseDiskTwice() {
	const timeout = 12 * time.Second
	const pollInterval = 20 * time.Millisecond
	f.loseDisk()
	deadline := min(f.world.now+timeout, f.world.settings.recoveryPhaseStart()-time.Second)
	var poll func()
	poll = func() {
		victims := lo.Filter(f.world.diskNodes(), func(one *node, _ int) bool { return one.up && f.canLose(one) })
		switch {
		case len(victims) == len(f.world.diskNodes()):
			f.world.logf(worldColumn, "repaired")
			f.world.counts.Faults["disk-lost-after-repair"]++
			f.replaceMachine(pick(f.world, victims))
		case f.world.now < deadline:
			f.world.after(pollInterval, poll)
		}
	}
	f.world.after(pollInterval, poll)
}

// replaceMachine replaces a node's machine, with a probability of one half at
// another address.
func (f *faultInjector) replaceMachine(victim *node) {
	if f.world.settings.FailOpen {
		f.replaceOrWipe(victim)
		return
	}
	f.replaceMachineAt(victim, f.world.chance(0.5))
}

func (f *faultInjector) replaceMachineAt(victim *node, elsewhere bool) {
	victim.logf("disk lost")
	victim.stop()
	victim.storage.disk.Lose()
	victim.storage.incarnation = f.world.newDiskIncarnation()
	victim.storage.founders = nil
	victim.clock.base = time.Second + f.world.upTo(maxUptime) - f.world.now
	if elsewhere {
		f.world.move(victim)
	}
	f.world.after(f.duration(300*time.Millisecond, 2*time.Second), victim.start)
}

// loseDiskAfterAck takes the disk of one of the two members that hold an order,
// right after its acknowledgement, while the third member comes back without the
// order and the second one is down.
func (f *faultInjector) loseDiskAfterAck() {
	disks := f.world.diskNodes()
	victims := lo.Filter(disks, func(one *node, _ int) bool { return f.canLose(one) && one.up })
	if len(victims) == 0 || len(disks) != 3 {
		f.loseDisk()
		return
	}
	victim := pick(f.world, victims)
	others := lo.Without(disks, victim)
	late, second := others[0], others[1]
	if f.world.chance(0.5) {
		late, second = second, late
	}
	f.world.network.changeBlocked([]*node{late}, f.world.nodes, 1)
	f.world.network.changeBlocked(f.world.nodes, []*node{late}, 1)
	f.world.after(1500*time.Millisecond, func() {
		order := f.world.operators.addKey(0)
		f.world.operators.issue(order)
		f.whenAcknowledged(order, func() {
			// Another disk may have been lost meanwhile.
			if f.canLose(victim) {
				f.replaceMachine(victim)
				f.restartAfter(second, f.duration(4*time.Second, 2*time.Second))
			}
			f.reconnect(late)
		}, func() { f.reconnect(late) })
	})
}

func (f *faultInjector) reconnect(late *node) {
	f.world.network.changeBlocked([]*node{late}, f.world.nodes, -1)
	f.world.network.changeBlocked(f.world.nodes, []*node{late}, -1)
}

// whenAcknowledged runs then once an order is acknowledged, or otherwise if that
// does not happen within a few seconds.
func (f *faultInjector) whenAcknowledged(order *operatorOrder, then, otherwise func()) {
	const timeout = 4 * time.Second
	const pollInterval = 500 * time.Microsecond
	deadline := min(f.world.now+timeout, f.world.settings.recoveryPhaseStart())
	var poll func()
	poll = func() {
		switch {
		case order.finished && order.outcome == checker.OutcomeAcknowledged:
			then()
		case f.world.now >= deadline || order.finished:
			otherwise()
		default:
			f.world.after(pollInterval, poll)
		}
	}
	poll()
}
