package replication

import "fmt"

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
