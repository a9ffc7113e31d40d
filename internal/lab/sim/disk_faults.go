package sim

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// slowDisk makes the writes of one node slow.
func (w *simulation) slowDisk() {
	victim := pick(w, w.diskNodes())
	victim.storage.slow = 20*time.Millisecond + w.upTo(700*time.Millisecond)
	w.after(w.faultDuration(2*time.Second, 6*time.Second), func() { victim.storage.slow = 0 })
}

// losePowerAfterAck stops all core nodes as soon as an operator has an
// acknowledgement. The disks are slowed a little, so that writes are pending at
// that instant.
func (w *simulation) losePowerAfterAck() {
	const slow = 80 * time.Millisecond
	disks := w.diskNodes()
	for _, one := range disks {
		one.storage.slow = slow
	}
	restoreDisks := func() {
		for _, one := range disks {
			one.storage.slow = 0
		}
	}
	order := w.operators.addKey(0)
	w.operators.issue(order)
	w.whenAcknowledged(order, func() {
		for _, one := range disks {
			w.restartAfter(one, w.faultDuration(100*time.Millisecond, 2*time.Second))
		}
		restoreDisks()
	}, restoreDisks)
}

// fullDisk makes a disk refuse all writes for a while.
func (w *simulation) fullDisk() {
	victim := pick(w, w.diskNodes())
	disk := victim.storage.disk
	disk.SetFull(true)
	victim.storage.full = true
	w.after(w.faultDuration(time.Second, 4*time.Second), func() {
		disk.SetFull(false)
		victim.storage.full = false
	})
}

// loseDisk replaces a machine: its disk is empty, its clock starts from zero, and
// its address may change.
func (w *simulation) loseDisk() {
	victims := lo.Filter(w.diskNodes(), func(one *node, _ int) bool { return w.canLose(one) })
	if len(victims) > 0 {
		w.replaceMachine(pick(w, victims))
	}
}

// loseDisksAsPowerFails takes as many disks as the deployment tolerates right
// after an acknowledgement, while all other nodes lose power at the same instant.
// The nodes whose disks are lost come back at their addresses, at any time among
// the others.
func (w *simulation) loseDisksAsPowerFails() {
	order := w.operators.addKey(0)
	w.operators.issue(order)
	w.whenAcknowledged(order, func() {
		if w.majorityLost {
			return
		}
		victims := w.tolerableLoss()
		if len(victims) > 0 {
			w.counts.Faults["disks-lost-with-power-off"]++
		}
		for _, one := range w.nodes {
			switch {
			case lo.Contains(victims, one):
				w.replaceMachineAt(one, false)
			case !one.removed:
				w.restartAfter(one, w.faultDuration(100*time.Millisecond, 2*time.Second))
			}
		}
	}, func() {})
}

// tolerableLoss returns, in random order, as many nodes as may lose their disks
// at one instant.
func (w *simulation) tolerableLoss() []*node {
	var victims []*node
	disks := w.diskNodes()
	for _, position := range w.random.Perm(len(disks)) {
		if one := disks[position]; one.up && w.canLose(append(victims, one)...) {
			victims = append(victims, one)
		}
	}
	return victims
}

// canLose reports whether every shard keeps a majority of its voters without the
// disks of some nodes. A voter whose disk was lost counts until it is replaced,
// and one that is about to leave counts as lost.
func (w *simulation) canLose(victims ...*node) bool {
	for shard := range w.serviceShards + 1 {
		slots, known := w.memberSlots(shard)
		if !known {
			return false
		}
		voters, healthy := 0, 0
		for _, slot := range slots {
			if slot.Learner {
				continue
			}
			voters++
			member := w.nodeNamed(slot.ID)
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

// memberSlots returns the member slots of a shard as its leader of the newest
// term knows them; false if no node leads the shard.
func (w *simulation) memberSlots(shard uint32) ([]replication.Slot, bool) {
	var newest []replication.Slot
	term := uint64(0)
	for _, one := range w.diskNodes() {
		if !one.up {
			continue
		}
		slots, leads := one.machine.GroupSlots(shard)
		if !leads {
			continue
		}
		if shardTerm := one.machine.Status().GetShards()[shard].GetTerm(); shardTerm > term {
			newest, term = slots, shardTerm
		}
	}
	return newest, term > 0
}

func (w *simulation) nodeNamed(id member.ID) *node {
	position := slices.IndexFunc(w.everyNode, func(one *node) bool { return one.info.ID == id })
	return w.everyNode[position]
}

// loseDiskTwice takes a second disk as soon as the first loss is repaired, that
// is, as soon as the shards can do without any one disk again.
func (w *simulation) loseDiskTwice() {
	const timeout = 12 * time.Second
	const pollInterval = 20 * time.Millisecond
	w.loseDisk()
	deadline := min(w.now+timeout, w.settings.recoveryPhaseStart()-time.Second)
	var poll func()
	poll = func() {
		victims := lo.Filter(w.diskNodes(), func(one *node, _ int) bool { return one.up && w.canLose(one) })
		switch {
		case len(victims) == len(w.diskNodes()):
			w.logf(worldColumn, "repaired")
			w.counts.Faults["disk-lost-after-repair"]++
			w.replaceMachine(pick(w, victims))
		case w.now < deadline:
			w.after(pollInterval, poll)
		}
	}
	w.after(pollInterval, poll)
}

// replaceMachine replaces a node's machine, with a probability of one half at
// another address.
func (w *simulation) replaceMachine(victim *node) {
	if w.settings.FailOpen {
		w.replaceOrWipe(victim)
		return
	}
	w.replaceMachineAt(victim, w.chance(0.5))
}

func (w *simulation) replaceMachineAt(victim *node, elsewhere bool) {
	victim.logf("disk lost")
	victim.stop()
	victim.storage.disk.Lose()
	victim.storage.incarnation = w.newDiskIncarnation()
	victim.storage.founders = nil
	victim.clock.base = time.Second + w.upTo(maxUptime) - w.now
	if elsewhere {
		w.move(victim)
	}
	w.after(w.faultDuration(300*time.Millisecond, 2*time.Second), victim.start)
}

// newDiskIncarnation returns the incarnation of a disk that is found empty.
func (w *simulation) newDiskIncarnation() uint64 { return uint64(wallEpoch + w.now.Milliseconds()) }

// move gives a node another address. Seeds that name the old one are then dead.
func (w *simulation) move(victim *node) {
	delete(w.byAddress, victim.info.Address)
	victim.info.Address = string(victim.info.ID) + ":7101"
	w.byAddress[victim.info.Address] = victim
}

// loseDiskAfterAck takes the disk of one of the two members that hold an order,
// right after its acknowledgement, while the third member comes back without the
// order and the second one is down.
func (w *simulation) loseDiskAfterAck() {
	disks := w.diskNodes()
	victims := lo.Filter(disks, func(one *node, _ int) bool { return w.canLose(one) && one.up })
	if len(victims) == 0 || len(disks) != 3 {
		w.loseDisk()
		return
	}
	victim := pick(w, victims)
	others := lo.Without(disks, victim)
	late, second := others[0], others[1]
	if w.chance(0.5) {
		late, second = second, late
	}
	w.network.changeBlocked([]*node{late}, w.nodes, 1)
	w.network.changeBlocked(w.nodes, []*node{late}, 1)
	w.after(1500*time.Millisecond, func() {
		order := w.operators.addKey(0)
		w.operators.issue(order)
		w.whenAcknowledged(order, func() {
			// Another disk may have been lost meanwhile.
			if w.canLose(victim) {
				w.replaceMachine(victim)
				w.restartAfter(second, w.faultDuration(4*time.Second, 2*time.Second))
			}
			w.reconnect(late)
		}, func() { w.reconnect(late) })
	})
}

func (w *simulation) reconnect(late *node) {
	w.network.changeBlocked([]*node{late}, w.nodes, -1)
	w.network.changeBlocked(w.nodes, []*node{late}, -1)
}

// whenAcknowledged runs then once an order is acknowledged, or otherwise if that
// does not happen within a few seconds.
func (w *simulation) whenAcknowledged(order *operatorOrder, then, otherwise func()) {
	const timeout = 4 * time.Second
	const pollInterval = 500 * time.Microsecond
	deadline := min(w.now+timeout, w.settings.recoveryPhaseStart())
	var poll func()
	poll = func() {
		switch {
		case order.finished && order.outcome == checker.OutcomeAcknowledged:
			then()
		case w.now >= deadline || order.finished:
			otherwise()
		default:
			w.after(pollInterval, poll)
		}
	}
	poll()
}
