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
	// ChangeRemoveVoter takes the vote from Voter and reserves its slot for
	// Successor, or drops the slot if there is none.
	ChangeRemoveVoter GroupChangeKind = iota + 1
	// ChangeAddVoter gives Voter the vote in the slot that is reserved for its
	// member, or in a new slot at the end. Voter may be in a later incarnation than
	// the one the slot was reserved for.
	ChangeAddVoter
	// ChangeDropSlot drops the slot that is reserved for Voter.
	ChangeDropSlot
)

// GroupChange is one step of a change of the group: it removes or adds a single voter, or
// drops a slot that has no vote, so that each majority before it and each majority after it
// have a member in common.
type GroupChange struct {
	Kind  GroupChangeKind
	Voter Voter
	// Successor is who the slot of a removed voter is reserved for: the same member
	// in a later incarnation, another member that has no slot, or nobody.
	Successor Voter
}

// GroupChangeProblem tells why a group can't be changed so now.
type GroupChangeProblem uint8

// The problems of a change.
const (
	// ProblemChangePending means that an earlier change is not committed yet.
	ProblemChangePending GroupChangeProblem = iota + 1
	// ProblemTermUncommitted means that the leader has committed nothing in its term
	// yet.
	ProblemTermUncommitted
	// ProblemNoSuchSlot means that the group has no such voter or reserved slot, or that
	// the member that is to get a slot or a vote has one already or is not named.
	ProblemNoSuchSlot
	// ProblemNotCaughtUp means that the member that is to get the vote lacks entries.
	ProblemNotCaughtUp
	// ProblemNoMajority means that too few of the remaining voters are live.
	ProblemNoMajority
	// ProblemLeader means that the voter to be removed is the leader.
	ProblemLeader
	// ProblemUnknownKind means that the kind of the change is none of those defined.
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
		return "the group has no such slot: read its status and name a voter of it, or a member without a slot"
	case ProblemNotCaughtUp:
		return "the member does not hold the log yet: start it, and try again when it has caught up"
	case ProblemNoMajority:
		return "too few of the remaining voters are live: start them first"
	case ProblemLeader:
		return "the voter is the leader: transfer the leadership first"
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

// ProposeGroupChange appends a change of the voters. It takes effect at once, and is
// undone if the entry is truncated in a later term; Status shows it as committed
// when its index is. When a slot is reserved for a member, the leader adds that
// member by itself once it has caught up. It fails with a *NotLeaderError or a
// *GroupChangeError.
func (g *Group) ProposeGroupChange(now time.Duration, change GroupChange) error {
	g.advanceClock(now)
	if err := g.checkAcceptsProposals(); err != nil {
		return err
	}
	changed, problem := g.changePlanner().after(change)
	if problem != 0 {
		return &GroupChangeError{Change: change, Problem: problem}
	}
	g.appendEntry(EntryGroupChange, encodeSlots(changed))
	g.trackMembers()
	return nil
}

// changePlanner judges the changes of a group, and finds those that are due, by what
// the leader knows at one instant. It changes nothing.
type changePlanner struct {
	cfg       *Config
	now       time.Duration
	group     groupState
	peers     peerSet
	followers *tracker
	committed uint64
	// barrier is the index of the entry that began the leadership.
	barrier uint64
	// caughtUpIndex is the last index that the log had when the newest heartbeat was
	// sent. A member that has it has caught up.
	caughtUpIndex uint64
}

func (g *Group) changePlanner() *changePlanner {
	return &changePlanner{
		cfg:           &g.cfg,
		now:           g.now,
		group:         g.log.groups.latest(),
		peers:         g.peers,
		followers:     &g.leadership.followers,
		committed:     g.log.committed,
		barrier:       g.leadership.barrier,
		caughtUpIndex: g.leadership.heartbeats.lastIndex,
	}
}

// after returns the group after the change, or why it can't be made.
func (p *changePlanner) after(change GroupChange) (slots, GroupChangeProblem) {
	if p.committed < p.barrier {
		// A change that an earlier term left could be in effect elsewhere.
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

// successorProblem tells why a slot can't be reserved for the successor.
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

// afterDrop changes no majority, as a reserved slot has no vote.
func (p *changePlanner) afterDrop(change GroupChange) (slots, GroupChangeProblem) {
	group := p.group.slots
	position := group.position(change.Voter.ID)
	if position < 0 || !group[position].Learner {
		return nil, ProblemNoSuchSlot
	}
	return group.without(position), 0
}

// caughtUp tells whether the member is live in that incarnation, takes a vote, and
// has all that the log had when the newest heartbeat was sent.
func (p *changePlanner) caughtUp(voter Voter) bool {
	follower := p.followers.voter(voter)
	if follower == nil || follower.learner {
		return false
	}
	return p.followers.isLive(follower, p.now) && follower.match >= p.caughtUpIndex
}
