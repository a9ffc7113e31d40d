package replication

import "fmt"

// GroupChangeKind is the kind of a GroupChange.
type GroupChangeKind uint8

// The kinds of group changes.
const (
	// ChangeRemoveVoter removes the vote of Voter and reserves its slot for Successor, or
	// drops the slot if there is no successor.
	ChangeRemoveVoter GroupChangeKind = iota + 1
	// ChangeAddVoter gives Voter a vote, in the slot that is reserved for its member, or in a
	// new slot at the end. Voter may be in a later incarnation than the one that the slot was
	// reserved for.
	ChangeAddVoter
	// ChangeDropSlot drops the slot that is reserved for Voter.
	ChangeDropSlot
)

// GroupChange is one change of the group: it removes or adds a single voter, or drops a slot
// that has no vote. So each majority before the change and each majority after it have a
// member in common.
type GroupChange struct {
	Kind  GroupChangeKind
	Voter Voter
	// Successor is the member that the slot of a removed voter is reserved for: the same
	// member in a later incarnation, another member that has no slot, or the zero Voter for
	// none.
	Successor Voter
}

// GroupChangeProblem is the reason why a group change was rejected.
type GroupChangeProblem uint8

// The reasons why a group change can be rejected.
const (
	// ProblemChangePending means that an earlier change is not committed yet.
	ProblemChangePending GroupChangeProblem = iota + 1
	// ProblemTermUncommitted means that the leader has not committed an entry of its term
	// yet.
	ProblemTermUncommitted
	// ProblemNoSuchSlot means that the group has no such voter or reserved slot, or that the
	// member to be given a slot or a vote already has one or has an empty ID.
	ProblemNoSuchSlot
	// ProblemNotCaughtUp means that the member to be given the vote lacks entries.
	ProblemNotCaughtUp
	// ProblemNoMajority means that fewer than a majority of the voters after the change are
	// live.
	ProblemNoMajority
	// ProblemLeader means that the voter to be removed is the leader.
	ProblemLeader
	// ProblemUnknownKind means that the change is not of a defined kind.
	ProblemUnknownKind
)

// remedy describes the problem and what to do about it.
func (p GroupChangeProblem) remedy() string {
	switch p {
	case ProblemChangePending:
		return "an earlier change is not committed yet: try again when it is"
	case ProblemTermUncommitted:
		return "the leader has not committed an entry of its term yet: try again in a moment"
	case ProblemNoSuchSlot:
		return "the group has no such slot: read its status and name a voter of it, or a member without a slot"
	case ProblemNotCaughtUp:
		return "the member has not caught up with the log: start it, and try again when it has caught up"
	case ProblemNoMajority:
		return "no majority of the voters after the change is live: start more of them first"
	case ProblemLeader:
		return "the voter is the leader: transfer the leadership first"
	default:
		return "the kind of the change is unknown: use one of the GroupChangeKind constants"
	}
}

// GroupChangeError means that the group was not changed.
type GroupChangeError struct {
	Change  GroupChange
	Problem GroupChangeProblem
}

// Error names the voter, the problem and the remedy.
func (e *GroupChangeError) Error() string {
	return fmt.Sprintf("change of voter %s in incarnation %d: %s", e.Change.Voter.ID, e.Change.Voter.Incarnation, e.Problem.remedy())
}
