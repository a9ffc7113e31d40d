package durable

import (
	"fmt"

	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
)

// record is what one Save does to the state: the hard state replaces the
// former one, then the snapshot replaces all entries, then the entries replace
// those from the index of the first one on.
type record struct {
	hardState *replication.HardState
	snapshot  *replication.Snapshot
	entries   []replication.Entry
}

// applyTo returns the state after the change, or *OrderError if the change
// does not follow on the state. It may write behind the end of the entries of
// the former state, but not change them.
func (c record) applyTo(state replication.Restored) (replication.Restored, error) {
	if c.hardState != nil {
		if c.hardState.Term < state.Term {
			return state, &OrderError{Message: fmt.Sprintf("term %d after term %d", c.hardState.Term, state.Term)}
		}
		state.HardState = *c.hardState
	}
	if c.snapshot != nil {
		state.Snapshot = c.snapshot
		state.Entries = nil
	}
	if len(c.entries) == 0 {
		return state, nil
	}
	if err := checkEntries(state, c.entries); err != nil {
		return state, err
	}
	retained := int(c.entries[0].Index - coveredIndex(state) - 1)
	if retained < len(state.Entries) {
		state.Entries = state.Entries[:retained:retained]
	}
	state.Entries = append(state.Entries, c.entries...)
	return state, nil
}

// coveredIndex returns the index in front of the first entry.
func coveredIndex(state replication.Restored) uint64 {
	if state.Snapshot == nil {
		return 0
	}
	return state.Snapshot.Index
}

func checkEntries(state replication.Restored, entries []replication.Entry) error {
	covered := coveredIndex(state)
	last := covered + uint64(len(state.Entries))
	first := entries[0].Index
	if first <= covered || first > last+1 {
		return &OrderError{Message: fmt.Sprintf("entry %d after entries %d to %d", first, covered+1, last)}
	}
	for i, entry := range entries {
		if entry.Index != first+uint64(i) {
			return &OrderError{Message: fmt.Sprintf("entry %d in place of entry %d", entry.Index, first+uint64(i))}
		}
	}
	return nil
}

// restore replays the records behind a checkpoint.
func restore(name string, contents twoslot.Contents) (replication.Restored, error) {
	var state replication.Restored
	encoded := contents.Records
	// A state is never encoded to nothing: an empty payload is that of a store
	// which was mended before its first checkpoint.
	if len(contents.Payload) > 0 {
		encoded = append([][]byte{contents.Payload}, encoded...)
	}
	for i, data := range encoded {
		change, err := decode(data)
		if err == nil {
			state, err = change.applyTo(state)
		}
		if err != nil {
			detail := fmt.Sprintf("record %d of %d", i+1, len(encoded))
			return replication.Restored{}, &twoslot.Error{Kind: twoslot.KindCorrupt, Name: name, Detail: detail, Cause: err}
		}
	}
	return state, nil
}

// OrderError tells that a change does not follow on the state before it, which
// is a fault of the caller; nothing was written.
type OrderError struct {
	Message string
}

// Error names the fault and its remedy.
func (e *OrderError) Error() string {
	return "durable: change does not follow on what is stored: " + e.Message + "; stop the member and report this"
}
