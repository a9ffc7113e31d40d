package sim

import (
	"slices"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// diskNodes returns the nodes with disks, which form the core.
func (w *simulation) diskNodes() []*node {
	return lo.Filter(w.nodes, func(one *node, _ int) bool { return one.storage != nil })
}

// nodeNamed returns the node of an ID, which may have been removed.
func (w *simulation) nodeNamed(id member.ID) *node {
	position := slices.IndexFunc(w.everyNode, func(one *node) bool { return one.info.ID == id })
	return w.everyNode[position]
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

// anyLeader returns a node that leads a random shard, or nil.
func (w *simulation) anyLeader() *node {
	shard := w.random.IntN(int(w.serviceShards) + 1)
	for _, one := range w.diskNodes() {
		if one.up && one.machine.Status().GetShards()[shard].GetLeader() == string(one.info.ID) {
			return one
		}
	}
	return nil
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

// isVoterEverywhere reports whether a node is a voter in every shard.
func (w *simulation) isVoterEverywhere(one *node) bool {
	for shard := range w.serviceShards + 1 {
		slots, known := w.memberSlots(shard)
		voter := replication.Voter{ID: one.info.ID, Incarnation: one.storage.incarnation}
		if !known || !lo.Contains(slots, replication.Slot{Voter: voter}) {
			return false
		}
	}
	return true
}

// healthy reports whether all members vote, and all nodes serve what was
// acknowledged and can reach each other.
func (w *simulation) healthy() bool {
	if w.faults.majorityLost || !w.everyMemberIsVoter() {
		return false
	}
	for _, one := range w.nodes {
		if !one.serving() || one.view.Revision < w.checks.acknowledged || lo.Sum(w.network.blocked[one.index]) > 0 {
			return false
		}
	}
	return true
}
