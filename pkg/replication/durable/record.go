package durable

import (
	"fmt"

	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
)

// record is what one Save changes of the state: the hard state replaces the former
// one, then the snapshot replaces all entries, then the entries replace those from the
// index of the first one on. Nil and empty fields change nothing.
type record struct {
	hardState *replication.HardState
	snapshot  *replication.Snapshot
	entries   []replication.Entry
}

// applyTo returns the state after the record, or an *OrderError if the record does not
// follow on the state. It may write after the end of the entries of the former state,
// but does not change them.
func (r record) applyTo(state replication.Restored) (replication.Restored, error) {
	if r.hardState != nil {
		if r.hardState.Term < state.Term {
			return state, &OrderError{Message: fmt.Sprintf("term %d after term %d", r.hardState.Term, state.Term)}
		}
		state.HardState = *r.hardState
	}
	if r.snapshot != nil {
		state.Snapshot = r.snapshot
		state.Entries = nil
	}
	if len(r.entries) == 0 {
		return state, nil
	}
	if err := checkEntries(state, r.entries); err != nil {
		return state, err
	}
	retained := int(r.entries[0].Index - coveredIndex(state) - 1)
	if retained < len(state.Entries) {
		state.Entries = state.Entries[:retained:retained]
	}
	state.Entries = append(state.Entries, r.entries...)
	return state, nil
}

// coveredIndex returns the index before the first entry.
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

// restore replays the records after a checkpoint.
func restore(name string, contents twoslot.Contents) (replication.Restored, error) {
	var state replication.Restored
	encoded := contents.Records
	// A state is never encoded to nothing: an empty payload is that of a store that was
	// repaired before its first checkpoint.
	if len(contents.Payload) > 0 {
		encoded = append([][]byte{contents.Payload}, encoded...)
	}
	for i, data := range encoded {
		saved, err := decode(data)
		if err == nil {
			state, err = saved.applyTo(state)
		}
		if err != nil {
			detail := fmt.Sprintf("record %d of %d", i+1, len(encoded))
			return replication.Restored{}, &twoslot.Error{Kind: twoslot.KindCorrupt, Name: name, Detail: detail, Cause: err}
		}
	}
	return state, nil
}

// OrderError tells that a record does not follow on the state before it, which is a
// mistake of the caller; nothing was written.
type OrderError struct {
	Message string
}

// Error names the mistake and the remedy.
func (e *OrderError) Error() string {
	return "durable: change does not follow on what is stored: " + e.Message + "; stop the member and report this"
}
