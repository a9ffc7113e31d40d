package replication

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// ErrNoSuccessor means that no other live voter can take over the leadership. Try again when
// another voter is back.
var ErrNoSuccessor = errors.New("no other live voter can take over the leadership: try again when another voter is back")

// ErrBacklogFull means that too many proposals or reads already wait for a quorum. Try again
// when earlier ones have completed.
var ErrBacklogFull = errors.New("too many proposals or reads wait for a quorum: try again when earlier ones are answered")

// NotLeaderError means that only the leader can do what was requested.
type NotLeaderError struct {
	// Leader is the member to ask instead; empty if this member knows no leader.
	Leader member.ID
}

// Error names the member to ask instead.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this member is not the leader and knows no leader: try again after an election"
	}
	return fmt.Sprintf("this member is not the leader: ask %s", e.Leader)
}

// ConfigError reports which field of a Config is invalid.
type ConfigError struct {
	Field   string
	Message string
}

// Error names the field and what is wrong with it.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("replication config: %s %s", e.Field, e.Message)
}

// RestoredError means that the durable state is inconsistent.
type RestoredError struct {
	Message string
}

// Error describes the inconsistency and the remedy.
func (e *RestoredError) Error() string {
	return "restored state: " + e.Message
}

// MessageError means that a message was dropped because no correct member of the group could
// have sent it.
type MessageError struct {
	From    member.ID
	Type    MessageType
	Message string
}

// Error names the sender and what is wrong with its message.
func (e *MessageError) Error() string {
	return fmt.Sprintf("replication message of type %d from %q: %s", e.Type, e.From, e.Message)
}

// RecoveryTermError means that a group can't be recovered under Term.
type RecoveryTermError struct {
	Term uint64
}

// Error names the term and the remedy.
func (e *RecoveryTermError) Error() string {
	return fmt.Sprintf("recovery term %d is not granted by all members, or no longer the newest: wait until RecoveryTerm returns one that is", e.Term)
}

// CompactError means that the log cannot be compacted at Index.
type CompactError struct {
	Index   uint64
	Message string
}

// Error names the index and the remedy.
func (e *CompactError) Error() string {
	return fmt.Sprintf("compact at index %d: %s", e.Index, e.Message)
}
