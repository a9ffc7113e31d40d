package replication

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// Status is a snapshot of a member's state.
type Status struct {
	Self member.ID
	// Leader is the leader of Term, or empty if it is unknown.
	Leader    member.ID
	Term      uint64
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	// SnapshotIndex is the last index that the newest snapshot covers.
	SnapshotIndex uint64
	Role          Role
	// Incarnation is the incarnation of Self's durable state.
	Incarnation uint64
	// Voters are in slot order. The caller must not modify Voters or Slots.
	Voters []member.ID
	// Slots are all slots in slot order, including those reserved for members without a vote.
	Slots []Slot
	// ChangeIndex is the index of the entry that defines this group. The group is final once
	// that entry is committed.
	ChangeIndex uint64
	// Followers is set on the leader only. It contains the other members with a slot, in slot
	// order, then the peers without one.
	Followers []FollowerStatus
}

// FollowerStatus is the leader's view of another member.
type FollowerStatus struct {
	ID member.ID
	// Match is the last index that is known to be durable on the member.
	Match uint64
	// Live is true if the leader heard from the member within the last ElectionTimeout.
	Live bool
	// Learner is true if the member has no vote.
	Learner bool
	// Incarnation is the incarnation in which the member was last heard from.
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
