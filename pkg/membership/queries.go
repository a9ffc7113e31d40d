package membership

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Fenced reports whether this node must refuse traffic at now. After the node has been
// fenced, FenceCount grows before Fenced returns false again.
func (m *Machine) Fenced(now time.Duration) bool {
	return m.self.fence.isFenced(now)
}

// FenceDeadline returns the instant at which Fenced becomes true unless monitors acknowledge
// further heartbeats. It returns Never if the node can't be fenced.
func (m *Machine) FenceDeadline() time.Duration {
	return m.self.fence.deadline
}

// FenceCount returns how many incarnations of this process have ended. Each time that
// the count grows, the node may serve again only after it has registered its present
// incarnation and learned the current revision.
func (m *Machine) FenceCount() uint64 {
	return m.self.fence.endedCount
}

// Members returns the records of all members sorted by ID, this node included.
func (m *Machine) Members() []Record {
	return m.table.copyRecords()
}

// Records returns the same records as Members without copying them. They share memory with
// the table: the caller may only read them, and only until its next call of a method that
// changes the Machine.
func (m *Machine) Records() []Record {
	records := make([]Record, 0, len(m.table.sortedIDs))
	for _, id := range m.table.sortedIDs {
		records = append(records, m.table.entries[id].record)
	}
	return records
}

// Size returns the number of members in the table, this node included.
func (m *Machine) Size() int { return len(m.table.sortedIDs) }

// Digest returns a hash of the table, which changes whenever a record changes. Callers
// compare it to detect changes without copying the table.
func (m *Machine) Digest() uint64 { return m.table.digest }

// Alive reports whether nothing suggests that the member has failed: no monitor reported
// it, and not so many of its monitors have failed that a running member would have replaced
// them. A false suspicion ends within about one round trip.
func (m *Machine) Alive(id member.ID) bool {
	e, known := m.table.entries[id]
	return known && e.record.State == StateAlive && !m.table.isOrphaned(&e.record)
}

// CertainlyFenced reports whether the member, in the incarnation that Incarnation returns,
// has left or will refuse traffic for the rest of that incarnation. A later incarnation of
// the same member may serve.
func (m *Machine) CertainlyFenced(id member.ID) bool {
	e, known := m.table.entries[id]
	if !known {
		_, forgotten := m.table.forgotten[id]
		return forgotten
	}
	return e.record.certainlyFenced()
}

// IncarnationEnded reports whether the given incarnation of a member will certainly not serve
// again: it is certainly fenced, it left, or a later incarnation has begun.
func (m *Machine) IncarnationEnded(id member.ID, incarnation member.Incarnation) bool {
	newest, known := m.Incarnation(id)
	if !known || incarnation > newest {
		return false
	}
	return incarnation < newest || m.CertainlyFenced(id)
}

// FormerIncarnationQuiesced reports whether all messages have arrived that the member sent
// in incarnations that it ended itself, by leaving or by beginning a later one. They count as
// arrived FenceMargin after this node learned of that end. A fence that follows from
// monitors' reports needs no such wait, because it includes FenceMargin.
func (m *Machine) FormerIncarnationQuiesced(id member.ID) bool {
	e, known := m.table.entries[id]
	return !known || m.now-e.incarnationSince >= m.config.FenceMargin
}

// Incarnation returns the newest known incarnation of the member.
func (m *Machine) Incarnation(id member.ID) (member.Incarnation, bool) {
	if e, known := m.table.entries[id]; known {
		return e.record.Info.Incarnation, true
	}
	incarnation, known := m.table.forgotten[id]
	return incarnation, known
}
