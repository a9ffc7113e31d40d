package replication

// Role is the present role of a member in its group.
type Role uint8

// The roles of a member.
const (
	// RoleFollower replicates the leader's log and votes.
	RoleFollower Role = iota + 1
	// RoleCandidate requests votes.
	RoleCandidate
	// RoleLeader appends to the log and replicates it to the other members.
	RoleLeader
	// RoleLearner replicates the leader's log and has no vote.
	RoleLearner
)

// String returns the name of the role.
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
