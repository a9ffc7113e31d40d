package membership

import (
	"fmt"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// RemoveReason tells why a member can't be removed.
type RemoveReason uint8

// The reasons of a RemoveError.
const (
	RemoveSelf RemoveReason = iota + 1
	RemoveUnknown
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
		return "it has begun another life since; check that its process is stopped and try again"
	default:
		return fmt.Sprintf("reason %d", uint8(r))
	}
}

// RemoveError is returned by Remove.
type RemoveError struct {
	ID     member.ID
	Reason RemoveReason
}

// Error names the member, the reason and the remedy.
func (e *RemoveError) Error() string {
	return fmt.Sprintf("can't remove member %q: %v", e.ID, e.Reason)
}
