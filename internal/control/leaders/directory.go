package leaders

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// Shards is what a Directory needs of the shards and members of its node.
type Shards interface {
	// HostedLeader returns whether this node hosts a copy of a shard, and the leader that
	// the copy knows, or "" if it knows none.
	HostedLeader(shardID uint32) (leader member.ID, hosted bool)
	// Group returns the members of a shard's replica group, in the order in which
	// they become its leader.
	Group(shardID uint32) []member.ID
	// Reachable reports whether a node is this one or is alive in its table of members.
	Reachable(id member.ID) bool
}

// Directory knows the leaders of shards. It is not safe for concurrent use.
type Directory struct {
	shards Shards
	// hints are the leaders that other nodes told, by shard.
	hints map[uint32]member.ID
}

// NewDirectory returns a directory without hints.
func NewDirectory(shards Shards) *Directory {
	return &Directory{shards: shards, hints: map[uint32]member.ID{}}
}

// Learn records a node that acted as the leader of a shard.
func (d *Directory) Learn(shardID uint32, leader member.ID) { d.hints[shardID] = leader }

// Redirected records the reply of the node by, which does not lead a shard: leader is the
// leader that it knows, or "" if it knows none. An empty leader removes a hint that names by.
func (d *Directory) Redirected(shardID uint32, by, leader member.ID) {
	switch {
	case leader != "":
		d.hints[shardID] = leader
	case d.hints[shardID] == by:
		delete(d.hints, shardID)
	}
}

// Known returns the leader of a shard, or "" if this node knows none.
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

// Next returns the first member of a shard's group that can be reached and follows a member
// that did not answer, or "" if no member can be reached. The last member, or a node outside
// the group, is followed by the first member.
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
