package replication

import "github.com/pkg/errors"

// EntryKind determines how an entry is applied. The numbers are used on the wire and in
// stored logs.
type EntryKind uint8

// The kinds of log entries.
const (
	// EntryCommand carries a command of the application's state machine.
	EntryCommand EntryKind = iota + 1
	// EntryBarrier is an empty entry that a new leader appends. Its commit commits the
	// entries of earlier terms.
	EntryBarrier
	// EntryGroupChange carries the whole group: the founders, the group after a GroupChange,
	// or the group that a quorum recovery forms.
	EntryGroupChange
	// EntryRestore carries the whole state of the application's state machine, which replaces
	// the state after the entries before it.
	EntryRestore
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Command []byte
}

// check returns an error for an entry of an unknown kind or with an invalid group. Skipping
// such an entry would be unsafe.
func (e Entry) check() error {
	switch e.Kind {
	case EntryCommand, EntryBarrier, EntryRestore:
		return nil
	case EntryGroupChange:
		_, err := decodeSlots(e.Command)
		return err
	default:
		return errors.Errorf("entry %d is of the unknown kind %d: run the same version on all members", e.Index, e.Kind)
	}
}
