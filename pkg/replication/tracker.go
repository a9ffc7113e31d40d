package replication

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// tracker contains the leader's view of the logs of the other members, and computes what a
// majority of the voters has reached. A voter counts only in the incarnation that has the
// vote. No member is removed while the leadership lasts: a late message of a lost incarnation
// must not be counted for a new incarnation.
type tracker struct {
	// self is the leader, which always counts as live and as having acknowledged every
	// heartbeat.
	self Voter
	// liveFor is how long a member counts as live after the leader heard from it.
	liveFor time.Duration
	members map[member.ID]*progress
}

func newTracker(self Voter, liveFor time.Duration) tracker {
	return tracker{self: self, liveFor: liveFor, members: map[member.ID]*progress{}}
}

// track begins to track the members that are not tracked yet, each with the initial
// progress.
func (t *tracker) track(members []member.ID, initial progress) {
	for _, id := range members {
		if t.members[id] == nil {
			follower := initial
			t.members[id] = &follower
		}
	}
}

// assumeIncarnations sets the incarnation of each voter that the leader has not heard from to
// the one that has the vote, until the leader hears from the voter in a later one.
func (t *tracker) assumeIncarnations(voters []Voter) {
	for _, voter := range voters {
		if follower := t.members[voter.ID]; follower != nil && follower.incarnation == 0 {
			follower.incarnation = voter.Incarnation
		}
	}
}

// get returns the progress of another member, or nil if it is not tracked.
func (t *tracker) get(id member.ID) *progress {
	return t.members[id]
}

// getVoter returns the progress of the voter, or nil if its member is not tracked or was last
// heard from in another incarnation.
func (t *tracker) getVoter(voter Voter) *progress {
	follower := t.members[voter.ID]
	if follower == nil || follower.incarnation != voter.Incarnation {
		return nil
	}
	return follower
}

// isLive reports whether the leader recently heard from the member, in any incarnation.
func (t *tracker) isLive(follower *progress, now time.Duration) bool {
	return now < follower.lastContact+t.liveFor
}

// isLiveVoter reports whether the leader recently heard from the voter.
func (t *tracker) isLiveVoter(voter Voter, now time.Duration) bool {
	if voter == t.self {
		return true
	}
	follower := t.getVoter(voter)
	return follower != nil && t.isLive(follower, now)
}

// hasLiveMajority reports whether the leader recently heard from a majority of the group.
func (t *tracker) hasLiveMajority(group slots, now time.Duration) bool {
	live := 0
	for _, voter := range group.voters() {
		if t.isLiveVoter(voter, now) {
			live++
		}
	}
	return live >= group.quorum()
}

// hasAcknowledged reports whether the voter has acknowledged the heartbeat or a later one.
func (t *tracker) hasAcknowledged(voter Voter, heartbeat uint64) bool {
	if voter == t.self {
		return true
	}
	follower := t.getVoter(voter)
	return follower != nil && follower.ackedHeartbeat >= heartbeat
}

// lastHeard returns the member of a slot in the incarnation in which it was last heard from.
func (t *tracker) lastHeard(slot Slot) Voter {
	if follower := t.members[slot.ID]; follower != nil {
		return Voter{ID: slot.ID, Incarnation: follower.incarnation}
	}
	return slot.Voter
}

// reachedByMajority returns the greatest value that a majority of the voters has reached;
// leaderValue is the value of the leader itself.
func (t *tracker) reachedByMajority(voters []Voter, leaderValue uint64, value func(*progress) uint64) uint64 {
	values := make([]uint64, 0, len(voters))
	for _, voter := range voters {
		follower := t.getVoter(voter)
		switch {
		case voter == t.self:
			values = append(values, leaderValue)
		case follower != nil:
			values = append(values, value(follower))
		default:
			values = append(values, 0)
		}
	}
	slices.Sort(values)
	return values[len(values)-majority(len(values))]
}
