package leaders

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// Shards is what a Directory needs of the shards and members of its node.
type Shards interface {
	// HostedLeader returns the leader of a shard as the node's copy of it knows, or
	// "", and whether the node hosts a copy.
	HostedLeader(shardID uint32) (leader member.ID, hosted bool)
	// Group returns the members of a shard's replica group, in the order in which
	// they come to lead it.
	Group(shardID uint32) []member.ID
	// Reachable reports whether a node is this one or is alive for all that it knows.
	Reachable(id member.ID) bool
}

// Directory names the leaders of shards. It is not safe for concurrent use.
type Directory struct {
	shards Shards
	hints  map[uint32]member.ID
}

// NewDirectory returns a directory without hints.
func NewDirectory(shards Shards) *Directory {
	return &Directory{shards: shards, hints: map[uint32]member.ID{}}
}

// Learn records the node that has acted as the leader of a shard.
func (d *Directory) Learn(shardID uint32, leader member.ID) { d.hints[shardID] = leader }

// Redirected takes the hint of a node that does not lead a shard itself; an empty
// hint says only that.
func (d *Directory) Redirected(shardID uint32, by, leader member.ID) {
	switch {
	case leader != "":
		d.hints[shardID] = leader
	case d.hints[shardID] == by:
		delete(d.hints, shardID)
	}
}

// Known returns the leader of a shard, or "" if the node knows of none.
func (d *Directory) Known(shardID uint32) member.ID {
	if leader, hosted := d.shards.HostedLeader(shardID); hosted {
		return leader
	}
	return d.hints[shardID]
}

// Guess returns the node that most likely leads a shard: the known leader if it can be
// reached, else the first member of the group that can; "" if none can.
func (d *Directory) Guess(shardID uint32) member.ID {
	if leader := d.Known(shardID); leader != "" && d.shards.Reachable(leader) {
		return leader
	}
	return d.First(shardID)
}

// First returns the first member of a shard's group that can be reached, or "".
func (d *Directory) First(shardID uint32) member.ID {
	for _, id := range d.shards.Group(shardID) {
		if d.shards.Reachable(id) {
			return id
		}
	}
	return ""
}

// Next returns the member of a shard's group that is to be tried after one that did
// not answer, or "" if none can be reached.
func (d *Directory) Next(shardID uint32, previous member.ID) member.ID {
	group := d.shards.Group(shardID)
	start := 0
	for position, id := range group {
		if id == previous {
			start = position + 1
		}
	}
	for offset := range group {
		id := group[(start+offset)%len(group)]
		if d.shards.Reachable(id) {
			return id
		}
	}
	return ""
}
