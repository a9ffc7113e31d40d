package durable

import (
	"fmt"

	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
)

// record is the change that one Save makes to the state: the hard state replaces the
// previous one, then the snapshot replaces the previous one and all entries, then the
// entries replace those from the index of the first one on. Nil and empty fields change
// nothing.
type record struct {
	hardState *replication.HardState
	snapshot  *replication.Snapshot
	entries   []replication.Entry
}

// applyTo returns the state after the record, or an *OrderError if the record is not a
// valid continuation of the state. It may write to spare capacity after the entries of the
// given state, but does not change these entries.
func (r record) applyTo(state replication.DurableState) (replication.DurableState, error) {
	if r.hardState != nil {
		if r.hardState.Term < state.Term {
			return state, &OrderError{Message: fmt.Sprintf("its term %d is older than the stored term %d", r.hardState.Term, state.Term)}
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

// coveredIndex returns the last index that the snapshot covers, which is the one before the
// first entry.
func coveredIndex(state replication.DurableState) uint64 {
	if state.Snapshot == nil {
		return 0
	}
	return state.Snapshot.Index
}

func checkEntries(state replication.DurableState, entries []replication.Entry) error {
	covered := coveredIndex(state)
	last := covered + uint64(len(state.Entries))
	first := entries[0].Index
	if first <= covered || first > last+1 {
		return &OrderError{Message: fmt.Sprintf("its first entry has index %d, and the stored entries are %d to %d", first, covered+1, last)}
	}
	for i, entry := range entries {
		if entry.Index != first+uint64(i) {
			return &OrderError{Message: fmt.Sprintf("it has an entry with index %d where index %d is expected", entry.Index, first+uint64(i))}
		}
	}
	return nil
}

// restore returns the state of the checkpoint with the records after it applied.
func restore(name string, contents twoslot.Contents) (replication.DurableState, error) {
	var state replication.DurableState
	encoded := contents.Records
	// An encoded state is never empty. An empty payload means that the store has no
	// checkpoint, or was repaired before its first one.
	if len(contents.Payload) > 0 {
		encoded = append([][]byte{contents.Payload}, encoded...)
	}
	for i, data := range encoded {
		saved, err := decode(data)
		if err == nil {
			state, err = saved.applyTo(state)
		}
		if err != nil {
			detail := fmt.Sprintf("cannot decode or apply record %d of %d", i+1, len(encoded))
			return replication.DurableState{}, &twoslot.Error{Kind: twoslot.KindCorrupt, Name: name, Detail: detail, Cause: err}
		}
	}
	return state, nil
}

// OrderError means that a change is not a valid continuation of the stored state, which is
// a fault of the caller. Nothing was written.
type OrderError struct {
	Message string
}

// Error returns the fault and the remedy.
func (e *OrderError) Error() string {
	return "durable: change is not a valid continuation of the stored state: " + e.Message + "; stop the member and report this fault"
}
