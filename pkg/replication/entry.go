package replication

import "github.com/pkg/errors"

// EntryKind tells how an entry is applied. The numbers are those of the wire and of
// stored logs.
type EntryKind uint8

// The kinds of log entries.
const (
	// EntryCommand carries a command of the state machine above.
	EntryCommand EntryKind = iota + 1
	// EntryBarrier is the empty entry with which a new leader commits what earlier
	// terms left.
	EntryBarrier
	// EntryGroupChange carries the whole group: the founders, the group after a
	// GroupChange, or the one that a recovery forms.
	EntryGroupChange
	// EntryRestore carries the whole state of the state machine above, in place of
	// the state that the entries before it led to.
	EntryRestore
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Command []byte
}

// check finds kinds that this member doesn't know, and groups that it can't follow:
// to skip them would be unsafe.
func (e Entry) check() error {
	switch e.Kind {
	case EntryCommand, EntryBarrier, EntryRestore:
		return nil
	case EntryGroupChange:
		_, err := decodeSlots(e.Command)
		return err
	default:
		return errors.New("an entry is of a kind that this member can't follow: run the same version on all members")
	}
}
