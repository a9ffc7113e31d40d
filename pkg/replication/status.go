package replication

import (
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Status is a view of a member at one instant.
type Status struct {
	Self member.ID
	// Owner is the owner of Epoch as far as known, or empty.
	Owner     member.ID
	Epoch     uint64
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	// SnapshotIndex is the last index that the newest snapshot covers.
	SnapshotIndex uint64
	Role          Role
	// Group holds the voters in the agreed order.
	Group []member.ID
	// Followers is set on the owner only, in the agreed order.
	Followers []FollowerStatus
}

// FollowerStatus is what the owner knows of another member.
type FollowerStatus struct {
	ID member.ID
	// Match is the last index that is known to be durable there.
	Match uint64
	// Live tells whether the member was heard within ElectionTimeout.
	Live bool
	// Learner tells that the member has no vote.
	Learner bool
}

// Status returns the present state.
func (g *Group) Status() Status {
	status := Status{
		Self:      g.cfg.Self,
		Owner:     g.owner,
		Epoch:     g.hard.Epoch,
		Commit:    g.log.committed,
		Applied:   g.log.applied,
		LastIndex: g.log.lastIndex(),
		Role:      g.role,
		Group:     slices.Clone(g.cfg.Group),
	}
	if g.log.snapshot != nil {
		status.SnapshotIndex = g.log.snapshot.Index
	}
	if g.role != RoleOwner {
		return status
	}
	for _, id := range g.others() {
		follower := g.ownership.progress[id]
		status.Followers = append(status.Followers, FollowerStatus{
			ID:      id,
			Match:   follower.match,
			Live:    g.now < follower.lastContact+g.cfg.ElectionTimeout,
			Learner: follower.learner,
		})
	}
	return status
}
