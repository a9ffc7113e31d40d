package replication

import (
	"fmt"
	"slices"
	"time"
)

// GroupChangeKind tells what a GroupChange does.
type GroupChangeKind uint8

// The changes of a group.
const (
	// ChangeRemoveVoter takes the vote from Voter and keeps its place for
	// Successor, or drops the place if there is none.
	ChangeRemoveVoter GroupChangeKind = iota + 1
	// ChangeAddVoter gives Voter the vote in the place that is kept for its
	// member, or in a new place at the end. Voter may be in a later incarnation
	// than the one the place was kept for.
	ChangeAddVoter
	// ChangeDropSlot gives the place up that is kept for Voter.
	ChangeDropSlot
)

// GroupChange is one step of a change of the voters: it removes or adds a
// single voter, so that each majority before it and each after it have a
// member in common.
type GroupChange struct {
	Kind  GroupChangeKind
	Voter Voter
	// Successor is who the place of a removed voter is kept for: the same
	// member in a later incarnation, another member that has no place, or nobody.
	Successor Voter
}

// GroupChangeProblem tells why a group can't be changed so now.
type GroupChangeProblem uint8

// The problems of a change.
const (
	// ProblemChangePending: an earlier change is not committed yet.
	ProblemChangePending GroupChangeProblem = iota + 1
	// ProblemTermUncommitted: the leader has committed nothing in its term yet.
	ProblemTermUncommitted
	// ProblemNoSuchSlot: the group has no such voter, or no place kept.
	ProblemNoSuchSlot
	// ProblemNotCaughtUp: the member that is to get the vote lacks entries.
	ProblemNotCaughtUp
	// ProblemNoMajority: too few of the remaining voters are live.
	ProblemNoMajority
	// ProblemLeader: the voter to be removed is the leader.
	ProblemLeader
	// ProblemUnknownKind: the kind of the change is none of the defined ones.
	ProblemUnknownKind
)

// remedy tells what to do about the problem.
func (p GroupChangeProblem) remedy() string {
	switch p {
	case ProblemChangePending:
		return "an earlier change is not committed yet: try again when it is"
	case ProblemTermUncommitted:
		return "the leader has committed nothing in its term yet: try again in a moment"
	case ProblemNoSuchSlot:
		return "the group has no such place: read its status and name a voter of it, or a member without a place"
	case ProblemNotCaughtUp:
		return "the member does not hold the log yet: start it, and try again when it has caught up"
	case ProblemNoMajority:
		return "too few of the remaining voters are live: start them first"
	case ProblemLeader:
		return "the voter is the leader: hand the leadership over first"
	default:
		return "the kind of the change is unknown: use one of the defined kinds"
	}
}

// GroupChangeError tells that the group was not changed.
type GroupChangeError struct {
	Change  GroupChange
	Problem GroupChangeProblem
}

// Error names the voter, the problem and the remedy.
func (e *GroupChangeError) Error() string {
	return fmt.Sprintf("change of voter %s in incarnation %d: %s", e.Change.Voter.ID, e.Change.Voter.Incarnation, e.Problem.remedy())
}

// ProposeGroupChange appends a change of the voters. It takes effect at once,
// and is undone if the entry is truncated in a later term; Status shows it as
// committed when its index is. When a place is kept for a member, the leader
// adds that member by itself once it has caught up. It fails with a
// *NotLeaderError or a *GroupChangeError.
func (g *Group) ProposeGroupChange(now time.Duration, change GroupChange) error {
	g.advanceClock(now)
	if err := g.checkAcceptsProposals(); err != nil {
		return err
	}
	changed, problem := g.afterChange(change)
	if problem != 0 {
		return &GroupChangeError{Change: change, Problem: problem}
	}
	g.appendEntry(EntryGroupChange, encodeSlots(changed))
	g.trackMembers()
	return nil
}

// afterChange returns the group after the change, or why it can't be made.
func (g *Group) afterChange(change GroupChange) (slots, GroupChangeProblem) {
	if g.log.committed < g.leadership.barrier {
		// A change that an earlier term left could be in effect elsewhere.
		return nil, ProblemTermUncommitted
	}
	if g.log.groups.latest().index > g.log.committed {
		return nil, ProblemChangePending
	}
	switch change.Kind {
	case ChangeRemoveVoter:
		return g.afterRemoval(change)
	case ChangeAddVoter:
		return g.afterAddition(change)
	case ChangeDropSlot:
		return g.afterDrop(change)
	default:
		return nil, ProblemUnknownKind
	}
}

func (g *Group) afterRemoval(change GroupChange) (slots, GroupChangeProblem) {
	group := g.slots()
	if !group.votes(change.Voter) {
		return nil, ProblemNoSuchSlot
	}
	if change.Voter.ID == g.cfg.Self {
		return nil, ProblemLeader
	}
	position := group.position(change.Voter.ID)
	changed := group.without(position)
	if change.Successor != (Voter{}) {
		if problem := g.successorProblem(change); problem != 0 {
			return nil, problem
		}
		changed = group.with(position, Slot{Voter: change.Successor, Learner: true})
	}
	if !g.hasLiveMajority(changed) {
		return nil, ProblemNoMajority
	}
	return changed, 0
}

// successorProblem tells why a place can't be kept for the successor.
func (g *Group) successorProblem(change GroupChange) GroupChangeProblem {
	successor := change.Successor
	if successor.ID == change.Voter.ID {
		if successor.Incarnation == change.Voter.Incarnation {
			return ProblemNoSuchSlot
		}
	} else if g.slots().position(successor.ID) >= 0 {
		return ProblemNoSuchSlot
	}
	if !g.caughtUp(successor) {
		return ProblemNotCaughtUp
	}
	return 0
}

func (g *Group) afterAddition(change GroupChange) (slots, GroupChangeProblem) {
	group := g.slots()
	position := group.position(change.Voter.ID)
	if change.Voter.ID == "" || (position >= 0 && !group[position].Learner) {
		return nil, ProblemNoSuchSlot
	}
	if !g.caughtUp(change.Voter) {
		return nil, ProblemNotCaughtUp
	}
	added := Slot{Voter: change.Voter}
	changed := append(slices.Clone(group), added)
	if position >= 0 {
		changed = group.with(position, added)
	}
	if !g.hasLiveMajority(changed) {
		return nil, ProblemNoMajority
	}
	return changed, 0
}

// afterDrop changes no majority, as a kept place has no vote.
func (g *Group) afterDrop(change GroupChange) (slots, GroupChangeProblem) {
	group := g.slots()
	position := group.position(change.Voter.ID)
	if position < 0 || !group[position].Learner {
		return nil, ProblemNoSuchSlot
	}
	return group.without(position), 0
}

// caughtUp tells whether the member is live in that incarnation, wants a vote, and
// holds all that the log held when the last heartbeat round began.
func (g *Group) caughtUp(voter Voter) bool {
	follower := g.leadership.progress[voter.ID]
	if follower == nil || follower.learner || follower.incarnation != voter.Incarnation {
		return false
	}
	return g.isLive(follower) && follower.match >= g.leadership.heartbeatLastIndex
}

// hasLiveMajority tells whether the voters that are heard, in the incarnation that
// counts, are a majority of the group.
func (g *Group) hasLiveMajority(group slots) bool {
	live := 0
	for _, voter := range group.voters() {
		if g.isLiveVoter(voter) {
			live++
		}
	}
	return live >= group.quorum()
}
