package replication

import "slices"

// Snapshot is the state after all entries up to and including Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	// Slots are those of the group after Index, in the agreed order.
	Slots []Slot
	// Data is the state of the state machine above.
	Data []byte
}

// Compact makes the application's state after index the newest snapshot and drops
// the entries before it but for MaxLogEntries and MaxLogBytes. The index must be applied
// (Advance was called) and newer than the last snapshot. The data must not be changed
// afterwards. It fails with a *CompactError.
func (g *Group) Compact(index uint64, data []byte) error {
	if index > g.log.applied {
		return &CompactError{Index: index, Message: "is not applied yet: call Advance first"}
	}
	if g.log.snapshot != nil && index <= g.log.snapshot.Index {
		return &CompactError{Index: index, Message: "is covered by a snapshot already: compact at a newer index"}
	}
	term, ok := g.log.termAt(index)
	if !ok || index == 0 {
		return &CompactError{Index: index, Message: "is not in the log: compact at an applied index"}
	}
	group := g.log.groups.at(index)
	if len(group) == 0 {
		return &CompactError{Index: index, Message: "is of a log that tells of no group yet: compact at a later index"}
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

// Checkpoint returns the whole durable state, with which the driver may replace
// everything that it wrote before. It must not be called while a Ready is
// outstanding, which could hold older records that are written after it.
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
