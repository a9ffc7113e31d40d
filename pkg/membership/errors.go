package membership

import (
	"fmt"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// RemoveReason tells why Remove refused.
type RemoveReason uint8

// The reasons of a RemoveError.
const (
	// RemoveSelf is for the node that was asked; Leave is the way for it.
	RemoveSelf RemoveReason = iota + 1
	// RemoveUnknown is for a member that isn't in the table.
	RemoveUnknown
	// RemoveOtherIncarnation is for an incarnation that isn't the member's newest.
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

// RemoveError is the error of Remove.
type RemoveError struct {
	ID     member.ID
	Reason RemoveReason
}

// Error names the member, the reason and the remedy.
func (e *RemoveError) Error() string {
	return fmt.Sprintf("can't remove member %q: %v", e.ID, e.Reason)
}
