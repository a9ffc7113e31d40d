package sim

import (
	"time"

	"github.com/samber/lo"
)

// diskFaults slow, fill and lose disks, some of them right after an
// acknowledgement.
type diskFaults struct {
	env          *environment
	machines     *machines
	groups       *shardGroups
	network      *network
	orders       faultOrders
	replacements *replacementFaults
	loss         *majorityLoss
}

// slow makes the writes of one node slow.
func (f *diskFaults) slow() {
	victim := pick(f.env.randomness, f.machines.withDisks())
	victim.storage.slow = 20*time.Millisecond + f.env.upTo(700*time.Millisecond)
	f.env.after(f.env.faultDuration(2*time.Second, 6*time.Second), func() { victim.storage.slow = 0 })
}

// fill makes a disk refuse all writes for a while.
func (f *diskFaults) fill() {
	victim := pick(f.env.randomness, f.machines.withDisks())
	victim.storage.setFull(true)
	f.env.after(f.env.faultDuration(time.Second, 4*time.Second), func() { victim.storage.setFull(false) })
}

// losePowerAfterAck stops all core nodes as soon as an operator has an
// acknowledgement. The disks are slowed a little, so that writes are pending at
// that instant.
func (f *diskFaults) losePowerAfterAck() {
	const slow = 80 * time.Millisecond
	disks := f.machines.withDisks()
	for _, one := range disks {
		one.storage.slow = slow
	}
	restoreDisks := func() {
		for _, one := range disks {
			one.storage.slow = 0
		}
	}
	order := f.orders.addKey(0)
	f.orders.issue(order)
	f.orders.whenAcknowledged(order, func() {
		for _, one := range disks {
			one.restartAfter(f.env.faultDuration(100*time.Millisecond, 2*time.Second))
		}
		restoreDisks()
	}, restoreDisks)
}

// lose replaces a machine: its disk is empty, its clock starts from zero, and its
// address may change.
func (f *diskFaults) lose() {
	victims := f.groups.expendable(func(*node) bool { return true })
	if len(victims) > 0 {
		f.replace(pick(f.env.randomness, victims))
	}
}

// loseAsPowerFails takes as many disks as the deployment tolerates right after an
// acknowledgement, while all other nodes lose power at the same instant. The nodes
// whose disks are lost come back at their addresses, at any time among the others.
func (f *diskFaults) loseAsPowerFails() {
	order := f.orders.addKey(0)
	f.orders.issue(order)
	f.orders.whenAcknowledged(order, func() {
		if f.loss.active {
			return
		}
		victims := f.tolerableLoss()
		if len(victims) > 0 {
			f.env.counts.Faults["disks-lost-with-power-off"]++
		}
		for _, one := range f.machines.nodes {
			switch {
			case lo.Contains(victims, one):
				f.replaceAt(one, false)
			case !one.removed:
				one.restartAfter(f.env.faultDuration(100*time.Millisecond, 2*time.Second))
			}
		}
	}, func() {})
}

// tolerableLoss returns, in random order, as many nodes as may lose their disks
// at one instant.
func (f *diskFaults) tolerableLoss() []*node {
	var victims []*node
	disks := f.machines.withDisks()
	for _, position := range f.env.random.Perm(len(disks)) {
		if one := disks[position]; one.up && f.groups.canLose(append(victims, one)...) {
			victims = append(victims, one)
		}
	}
	return victims
}

// loseTwice takes a second disk as soon as the first loss is repaired, that is, as
// soon as the shards can do without any one disk again.
func (f *diskFaults) loseTwice() {
	const timeout = 12 * time.Second
	const pollInterval = 20 * time.Millisecond
	f.lose()
	deadline := min(f.env.now+timeout, f.env.settings.recoveryPhaseStart()-time.Second)
	loseAgain := func() bool {
		victims := f.groups.expendable(func(one *node) bool { return one.up })
		if len(victims) < len(f.machines.withDisks()) {
			return f.env.now >= deadline
		}
		f.env.logf(worldColumn, "repaired")
		f.env.counts.Faults["disk-lost-after-repair"]++
		f.replace(pick(f.env.randomness, victims))
		return true
	}
	f.env.after(pollInterval, func() { f.env.poll(pollInterval, loseAgain) })
}

// replace replaces a node's machine. In a deployment with a configured group the
// new one may have another address; in one with seeds it may be another node.
func (f *diskFaults) replace(victim *node) {
	switch {
	case !f.env.settings.FailOpen:
		f.replaceAt(victim, f.env.chance(0.5))
	case f.env.chance(0.5):
		f.replaceAt(victim, false)
	default:
		f.replacements.exchange(victim)
	}
}

// replaceAt replaces a node's machine by one with an empty disk, at the same
// address or elsewhere.
func (f *diskFaults) replaceAt(victim *node, elsewhere bool) {
	victim.logf("disk lost")
	victim.stop()
	victim.storage.lose()
	victim.clock.restart()
	if elsewhere {
		f.machines.move(victim)
	}
	f.env.after(f.env.faultDuration(300*time.Millisecond, 2*time.Second), victim.start)
}

// loseAfterAck takes the disk of one of the two members that hold an order, right
// after its acknowledgement, while the third member comes back without the order
// and the second one is down.
func (f *diskFaults) loseAfterAck() {
	disks := f.machines.withDisks()
	victims := f.groups.expendable(func(one *node) bool { return one.up })
	if len(victims) == 0 || len(disks) != 3 {
		f.lose()
		return
	}
	victim := pick(f.env.randomness, victims)
	others := lo.Without(disks, victim)
	late, second := others[0], others[1]
	if f.env.chance(0.5) {
		late, second = second, late
	}
	f.network.isolate(late)
	f.env.after(1500*time.Millisecond, func() {
		order := f.orders.addKey(0)
		f.orders.issue(order)
		f.orders.whenAcknowledged(order, func() {
			// Another disk may have been lost meanwhile.
			if f.groups.canLose(victim) {
				f.replace(victim)
				second.restartAfter(f.env.faultDuration(4*time.Second, 2*time.Second))
			}
			f.network.reconnect(late)
		}, func() { f.network.reconnect(late) })
	})
}
