package replication

import "slices"

// Snapshot is the state after applying all entries up to and including Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	// Slots are the slots of the group after Index, in slot order.
	Slots []Slot
	// Data is the state of the application's state machine.
	Data []byte
}

// Compact sets data, the application's state after index, as the newest snapshot. It removes
// the entries that the snapshot covers, except as many as MaxLogEntries and MaxLogBytes
// allow. The entry at index must be applied (Advance was called) and newer than the last
// snapshot. The caller must not modify data afterwards. It fails with a *CompactError.
func (g *Group) Compact(index uint64, data []byte) error {
	if index > g.log.applied {
		return &CompactError{Index: index, Message: "the entry is not applied yet: call Advance first"}
	}
	if g.log.snapshot != nil && index <= g.log.snapshot.Index {
		return &CompactError{Index: index, Message: "a snapshot already covers the entry: compact at a newer index"}
	}
	term, ok := g.log.termAt(index)
	if !ok || index == 0 {
		return &CompactError{Index: index, Message: "the entry is not in the log: compact at an applied index"}
	}
	group := g.log.groups.at(index)
	if len(group) == 0 {
		return &CompactError{Index: index, Message: "the log up to the entry does not define a group yet: compact at a later index"}
	}
	snapshot := &Snapshot{
		Index: index,
		Term:  term,
		Slots: group,
		Data:  data,
	}
	g.log.compact(snapshot, uint64(g.cfg.MaxLogEntries), g.cfg.MaxLogBytes)
	return nil
}

// Checkpoint returns the whole durable state. The driver may replace everything that it wrote
// before with this state. It must not be called while a Ready is outstanding, as that Ready
// could contain older records that would be written after the checkpoint.
func (g *Group) Checkpoint() Restored {
	hardState := g.hardState.HardState
	hardState.Commit = g.log.committed
	first := g.log.offset + 1
	if g.log.snapshot != nil {
		first = g.log.snapshot.Index + 1
	}
	return Restored{
		HardState: hardState,
		Snapshot:  g.log.snapshot,
		Entries:   slices.Clone(g.log.slice(first, g.log.lastIndex())),
	}
}
