package sim

import (
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// shardGroups tells how the replica groups stand, as their leaders know it. It has
// no state but the machines'.
type shardGroups struct {
	env      *environment
	machines *machines
	// serviceShards is the number of shards beside the configuration's.
	serviceShards uint32
}

// memberSlots returns the member slots of a shard as its leader of the newest
// term knows them; false if no node leads the shard.
func (g *shardGroups) memberSlots(shard uint32) ([]replication.Slot, bool) {
	var newest []replication.Slot
	term := uint64(0)
	for _, one := range g.machines.withDisks() {
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
func (g *shardGroups) anyLeader() *node {
	shard := g.env.random.IntN(int(g.serviceShards) + 1)
	for _, one := range g.machines.withDisks() {
		if one.up && one.machine.Status().GetShards()[shard].GetLeader() == string(one.info.ID) {
			return one
		}
	}
	return nil
}

// leaderOf returns the node that leads the shard of a pool's service, or nil.
func (g *shardGroups) leaderOf(pool string) *node {
	return g.leaderOfShard(shardstate.ShardOfService(pool, g.serviceShards))
}

// leaderOfShard returns a running node that leads a shard, or nil.
func (g *shardGroups) leaderOfShard(shard uint32) *node {
	for _, one := range g.machines.withDisks() {
		if _, leads := one.machine.GroupSlots(shard); one.up && leads {
			return one
		}
	}
	return nil
}

// everyMemberIsVoter reports whether the leader of every shard knows all members
// as voters in the present incarnations of their disks.
func (g *shardGroups) everyMemberIsVoter() bool {
	for shard := range g.serviceShards + 1 {
		slots, known := g.memberSlots(shard)
		if !known || !lo.EveryBy(slots, func(slot replication.Slot) bool {
			return !slot.Learner && g.machines.named(slot.ID).storage.incarnation == slot.Incarnation
		}) {
			return false
		}
	}
	return true
}

// isVoterEverywhere reports whether a node is a voter in every shard.
func (g *shardGroups) isVoterEverywhere(one *node) bool {
	for shard := range g.serviceShards + 1 {
		slots, known := g.memberSlots(shard)
		voter := replication.Voter{ID: one.info.ID, Incarnation: one.storage.incarnation}
		if !known || !lo.Contains(slots, replication.Slot{Voter: voter}) {
			return false
		}
	}
	return true
}

// canLose reports whether every shard keeps a majority of its voters without the
// disks of some nodes. A voter whose disk was lost counts until it is replaced,
// and one that is about to leave counts as lost.
func (g *shardGroups) canLose(victims ...*node) bool {
	for shard := range g.serviceShards + 1 {
		slots, known := g.memberSlots(shard)
		if !known {
			return false
		}
		voters, healthy := 0, 0
		for _, slot := range slots {
			if slot.Learner {
				continue
			}
			voters++
			member := g.machines.named(slot.ID)
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

// expendable returns the nodes with disks that fulfil a condition, and any one of
// which the shards can lose.
func (g *shardGroups) expendable(condition func(*node) bool) []*node {
	return lo.Filter(g.machines.withDisks(), func(one *node, _ int) bool { return condition(one) && g.canLose(one) })
}
