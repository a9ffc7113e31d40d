package replication

// Role is the part that a member plays in its group at present.
type Role uint8

// The roles of a member.
const (
	// RoleFollower follows the leader's log and votes.
	RoleFollower Role = iota + 1
	// RoleCandidate requests votes.
	RoleCandidate
	// RoleLeader orders the log.
	RoleLeader
	// RoleLearner follows the leader's log and has no vote.
	RoleLearner
)

// String names the role.
func (r Role) String() string {
	switch r {
	case RoleFollower:
		return "follower"
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	case RoleLearner:
		return "learner"
	default:
		return "unknown"
	}
}
