// Package fbtable converts entries and slots to FlatBuffers tables. The schema of stored
// state (pkg/replication/durable) and that of frames (internal/wire) declare the same
// tables, but the code generated from them has different types; the generic functions
// here serve both. They keep no state and may be called concurrently.
//
// Reading the tables is not shared: frames come from the network and are read within a
// memory budget, while stored records are protected by checksums.
package fbtable

import "github.com/ridgeswitch/ridgeswitch/pkg/replication"

// EntryTable is satisfied by the generated types of the table of a log entry.
type EntryTable interface {
	~struct {
		Index   uint64 `json:"index"`
		Term    uint64 `json:"term"`
		Kind    byte   `json:"kind"`
		Command []byte `json:"command"`
	}
}

// SlotTable is satisfied by the generated types of the table of a slot, which the schemas
// call a place.
type SlotTable interface {
	~struct {
		Id          string `json:"id"` //nolint:revive // The generated type names the field so.
		Incarnation uint64 `json:"incarnation"`
		Learner     bool   `json:"learner"`
	}
}

// PackEntries returns the tables of the entries. The tables share the memory of the
// entries' commands. The result is never nil, so that a vector is written even if there are
// no entries.
func PackEntries[T EntryTable](entries []replication.Entry) []*T {
	packed := make([]*T, len(entries))
	for i, entry := range entries {
		packed[i] = &T{
			Index:   entry.Index,
			Term:    entry.Term,
			Kind:    byte(entry.Kind),
			Command: entry.Command,
		}
	}
	return packed
}

// PackSlots returns the tables of the slots of a group. The result is never nil, so that a
// vector is written even if there are no slots.
func PackSlots[T SlotTable](group []replication.Slot) []*T {
	packed := make([]*T, len(group))
	for i, slot := range group {
		packed[i] = &T{Id: string(slot.ID), Incarnation: slot.Incarnation, Learner: slot.Learner}
	}
	return packed
}
