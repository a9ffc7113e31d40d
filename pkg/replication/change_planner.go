package replication

import (
	"slices"
	"time"
)

// changePlanner checks whether changes of a group are possible (here), and finds those that
// are due (group_repair.go), based on the leader's state at one instant. It changes nothing.
type changePlanner struct {
	cfg       *Config
	now       time.Duration
	group     groupState
	peers     peerSet
	followers *tracker
	committed uint64
	// barrier is the index of the barrier entry of the leadership.
	barrier uint64
	// caughtUpIndex is the last index of the log when the newest heartbeat was sent. A member
	// that has this entry has caught up.
	caughtUpIndex uint64
}

// groupAfter returns the group after the change, or the reason why the change can't be made.
func (p *changePlanner) groupAfter(change GroupChange) (slots, GroupChangeProblem) {
	if p.committed < p.barrier {
		// A change from an earlier term could still be in effect on other members.
		return nil, ProblemTermUncommitted
	}
	if p.group.index > p.committed {
		return nil, ProblemChangePending
	}
	switch change.Kind {
	case ChangeRemoveVoter:
		return p.afterRemoval(change)
	case ChangeAddVoter:
		return p.afterAddition(change)
	case ChangeDropSlot:
		return p.afterDrop(change)
	default:
		return nil, ProblemUnknownKind
	}
}

func (p *changePlanner) afterRemoval(change GroupChange) (slots, GroupChangeProblem) {
	group := p.group.slots
	if !group.votes(change.Voter) {
		return nil, ProblemNoSuchSlot
	}
	if change.Voter.ID == p.cfg.Self {
		return nil, ProblemLeader
	}
	position := group.position(change.Voter.ID)
	changed := group.without(position)
	if change.Successor != (Voter{}) {
		if problem := p.successorProblem(change); problem != 0 {
			return nil, problem
		}
		changed = group.with(position, Slot{Voter: change.Successor, Learner: true})
	}
	if !p.followers.hasLiveMajority(changed, p.now) {
		return nil, ProblemNoMajority
	}
	return changed, 0
}

// successorProblem returns the reason why a slot can't be reserved for the successor, or
// zero.
func (p *changePlanner) successorProblem(change GroupChange) GroupChangeProblem {
	successor := change.Successor
	if successor.ID == change.Voter.ID {
		if successor.Incarnation == change.Voter.Incarnation {
			return ProblemNoSuchSlot
		}
	} else if p.group.slots.position(successor.ID) >= 0 {
		return ProblemNoSuchSlot
	}
	if !p.caughtUp(successor) {
		return ProblemNotCaughtUp
	}
	return 0
}

func (p *changePlanner) afterAddition(change GroupChange) (slots, GroupChangeProblem) {
	group := p.group.slots
	position := group.position(change.Voter.ID)
	if change.Voter.ID == "" || (position >= 0 && !group[position].Learner) {
		return nil, ProblemNoSuchSlot
	}
	if !p.caughtUp(change.Voter) {
		return nil, ProblemNotCaughtUp
	}
	added := Slot{Voter: change.Voter}
	changed := append(slices.Clone(group), added)
	if position >= 0 {
		changed = group.with(position, added)
	}
	if !p.followers.hasLiveMajority(changed, p.now) {
		return nil, ProblemNoMajority
	}
	return changed, 0
}

// afterDrop does not check for a live majority: a reserved slot has no vote, and so dropping
// it changes no majority.
func (p *changePlanner) afterDrop(change GroupChange) (slots, GroupChangeProblem) {
	group := p.group.slots
	position := group.position(change.Voter.ID)
	if position < 0 || !group[position].Learner {
		return nil, ProblemNoSuchSlot
	}
	return group.without(position), 0
}

// caughtUp reports whether the member is live in that incarnation, accepts a vote, and has
// all entries that the log had when the newest heartbeat was sent.
func (p *changePlanner) caughtUp(voter Voter) bool {
	follower := p.followers.getVoter(voter)
	if follower == nil || follower.refusesVote {
		return false
	}
	return p.followers.isLive(follower, p.now) && follower.match >= p.caughtUpIndex
}
