package membership

import (
	"fmt"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// RemoveReason is the reason for which Machine.Remove refused to remove a member.
type RemoveReason uint8

// The reasons of a RemoveError.
const (
	// RemoveSelf means that the member is the node that got the call; use Leave.
	RemoveSelf RemoveReason = iota + 1
	// RemoveUnknown means that the member isn't in the table.
	RemoveUnknown
	// RemoveOtherIncarnation means that the given incarnation isn't the member's newest.
	RemoveOtherIncarnation
)

// String returns the reason with its remedy.
func (r RemoveReason) String() string {
	switch r {
	case RemoveSelf:
		return "it is this node; let it leave, or ask another node"
	case RemoveUnknown:
		return "no such member; look the name up in the list of members"
	case RemoveOtherIncarnation:
		return "a later incarnation of it has begun; check that its process is stopped and try again"
	default:
		return fmt.Sprintf("reason %d", uint8(r))
	}
}

// RemoveError is the error that Machine.Remove returns.
type RemoveError struct {
	ID     member.ID
	Reason RemoveReason
}

// Error names the member, the reason and the remedy.
func (e *RemoveError) Error() string {
	return fmt.Sprintf("can't remove member %q: %v", e.ID, e.Reason)
}
