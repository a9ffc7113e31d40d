package sim

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// slowDisk makes the writes of one node slow.
func (w *simulation) slowDisk() {
	victim := pick(w, w.diskNodes())
	victim.storage.slow = 20*time.Millisecond + w.upTo(700*time.Millisecond)
	w.after(w.lasting(2*time.Second, 6*time.Second), func() { victim.storage.slow = 0 })
}

// fullDisk makes a disk refuse all writes for a while.
func (w *simulation) fullDisk() {
	victim := pick(w, w.diskNodes())
	disk := victim.storage.disk
	disk.SetFull(true)
	w.after(w.lasting(time.Second, 4*time.Second), func() { disk.SetFull(false) })
}

// loseDisk replaces a machine: its disk is gone, its clock starts anew, and at
// times its address is another one.
func (w *simulation) loseDisk() {
	victims := lo.Filter(w.diskNodes(), func(one *node, _ int) bool { return w.mayLose(one) })
	if len(victims) > 0 {
		w.replaceMachine(pick(w, victims))
	}
}

// mayLose tells whether every shard keeps a majority of its voters without the
// disk of a node. A lost disk is counted for good.
func (w *simulation) mayLose(victim *node) bool {
	lost := lo.Map(w.lostDisks, func(one *node, _ int) member.ID { return one.info.ID })
	if slices.Contains(lost, victim.info.ID) {
		return false
	}
	lost = append(lost, victim.info.ID)
	for shard := range w.serviceShards + 1 {
		group := control.GroupOfShard(shard, w.group)
		if 2*len(lo.Intersect(group, lost)) >= len(group) {
			return false
		}
	}
	return true
}

func (w *simulation) replaceMachine(victim *node) {
	victim.note("disk lost")
	w.lostDisks = append(w.lostDisks, victim)
	victim.stop()
	victim.storage.disk.Lose()
	victim.storage.initialised = false
	victim.clock.base = time.Second + w.upTo(maxUptime) - w.now
	if w.chance(0.5) {
		w.move(victim)
	}
	w.after(w.lasting(300*time.Millisecond, 2*time.Second), victim.start)
}

// move gives a node another address. Seeds that name the old one are dead.
func (w *simulation) move(victim *node) {
	delete(w.byAddress, victim.info.Address)
	victim.info.Address = string(victim.info.ID) + ":7101"
	w.byAddress[victim.info.Address] = victim
}

// loseDiskAfterAck takes away the disk of one of the two members that hold an
// order, right after its acknowledgement, while the third member comes back
// without it and the second is down.
func (w *simulation) loseDiskAfterAck() {
	disks := w.diskNodes()
	victims := lo.Filter(disks, func(one *node, _ int) bool { return w.mayLose(one) && one.up })
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
	w.network.cut([]*node{late}, w.nodes, 1)
	w.network.cut(w.nodes, []*node{late}, 1)
	w.after(1500*time.Millisecond, func() {
		order := w.addKey(0)
		w.place(order)
		w.whenAcknowledged(order, func() {
			w.replaceMachine(victim)
			w.restartAfter(second, w.lasting(4*time.Second, 2*time.Second))
			w.openCut(late)
		}, func() { w.openCut(late) })
	})
}

func (w *simulation) openCut(late *node) {
	w.network.cut([]*node{late}, w.nodes, -1)
	w.network.cut(w.nodes, []*node{late}, -1)
}

// whenAcknowledged waits up to a few seconds for an order's acknowledgement.
func (w *simulation) whenAcknowledged(order *operatorOrder, then, otherwise func()) {
	const patience = 4 * time.Second
	const step = 5 * time.Millisecond
	deadline := min(w.now+patience, w.settings.calmFrom())
	var look func()
	look = func() {
		switch {
		case order.settled && order.outcome == checker.OutcomeAcknowledged:
			then()
		case w.now >= deadline || order.settled:
			otherwise()
		default:
			w.after(step, look)
		}
	}
	look()
}
