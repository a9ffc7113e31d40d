package replication

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// Status is a view of a member at one instant.
type Status struct {
	Self member.ID
	// Leader is the leader of Term as far as known, or empty.
	Leader    member.ID
	Term      uint64
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	// SnapshotIndex is the last index that the newest snapshot covers.
	SnapshotIndex uint64
	Role          Role
	// Incarnation is that of Self's durable state.
	Incarnation uint64
	// Voters are in the agreed order. They must not be changed, like Slots.
	Voters []member.ID
	// Slots are all slots in the agreed order, with those of members that wait for a
	// vote.
	Slots []Slot
	// ChangeIndex is the index of the entry that began this group; the change is
	// final when it is committed.
	ChangeIndex uint64
	// Followers is set on the leader only: the members with a slot in the agreed
	// order, then the peers without one.
	Followers []FollowerStatus
}

// FollowerStatus is what the leader knows of another member.
type FollowerStatus struct {
	ID member.ID
	// Match is the last index that is known to be durable there.
	Match uint64
	// Live tells whether the member was heard within ElectionTimeout.
	Live bool
	// Learner tells that the member has no vote.
	Learner bool
	// Incarnation is that of the member's durable state when it was last heard.
	Incarnation uint64
}

// Status returns the present state.
func (g *Group) Status() Status {
	group := g.log.groups.latest()
	status := Status{
		Self:        g.cfg.Self,
		Leader:      g.election.leader,
		Term:        g.hardState.Term,
		Commit:      g.log.committed,
		Applied:     g.log.applied,
		LastIndex:   g.log.lastIndex(),
		Role:        g.election.role(),
		Incarnation: g.cfg.Incarnation,
		Voters:      group.voterIDs,
		Slots:       group.slots,
		ChangeIndex: group.index,
	}
	if g.log.snapshot != nil {
		status.SnapshotIndex = g.log.snapshot.Index
	}
	if g.leadership == nil {
		return status
	}
	followers := &g.leadership.replicator.followers
	for _, id := range g.otherMembers() {
		follower := followers.get(id)
		status.Followers = append(status.Followers, FollowerStatus{
			ID:          id,
			Match:       follower.match,
			Live:        followers.isLive(follower, g.now),
			Learner:     !group.slots.votes(Voter{ID: id, Incarnation: follower.incarnation}),
			Incarnation: follower.incarnation,
		})
	}
	return status
}
