package membership

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Fenced tells whether this node must refuse traffic at now. After the node has been
// fenced, FenceCount has grown before Fenced is false again.
func (m *Machine) Fenced(now time.Duration) bool {
	return m.self.fence.isFenced(now)
}

// FenceDeadline returns the instant at which Fenced becomes true unless more
// acknowledgements come; Never if nothing can fence this node.
func (m *Machine) FenceDeadline() time.Duration {
	return m.self.fence.deadline
}

// FenceCount returns how many incarnations of this process have ended. Each time that
// the count grows, the node may serve again only after it registered its present
// incarnation and learnt the current revision.
func (m *Machine) FenceCount() uint64 {
	return m.self.fence.endedCount
}

// Members returns the records of all members sorted by ID, this node included.
func (m *Machine) Members() []Record {
	return m.table.copyRecords()
}

// Records returns what Members does, but shares memory with the table: the caller may
// only read it, and only until the next input.
func (m *Machine) Records() []Record {
	records := make([]Record, 0, len(m.table.sortedIDs))
	for _, id := range m.table.sortedIDs {
		records = append(records, m.table.entries[id].record)
	}
	return records
}

// Size returns the number of members in the table, this node included.
func (m *Machine) Size() int { return len(m.table.sortedIDs) }

// Digest summarises the table: it changes whenever a record does. It spares
// callers that follow the table a copy of it.
func (m *Machine) Digest() uint64 { return m.table.digest }

// Alive tells whether nothing suggests that the member has failed: no monitor reports
// it, and it has monitors left that would. A false suspicion ends within about a round
// trip.
func (m *Machine) Alive(id member.ID) bool {
	e, known := m.table.entries[id]
	return known && e.record.State == StateAlive && !m.table.isOrphaned(&e.record)
}

// CertainlyFenced tells whether the member's incarnation that Incarnation returns
// refuses traffic now and for ever, or left. A later incarnation of the same member
// may serve.
func (m *Machine) CertainlyFenced(id member.ID) bool {
	e, known := m.table.entries[id]
	if !known {
		_, forgotten := m.table.forgotten[id]
		return forgotten
	}
	return e.record.certainlyFenced()
}

// IncarnationEnded tells whether the given incarnation of a member certainly serves no
// more: it is fenced for certain, it left, or a later one has begun.
func (m *Machine) IncarnationEnded(id member.ID, incarnation member.Incarnation) bool {
	newest, known := m.Incarnation(id)
	if !known || incarnation > newest {
		return false
	}
	return incarnation < newest || m.CertainlyFenced(id)
}

// FormerIncarnationQuiesced tells whether all that the member sent in incarnations that
// it ended itself, by leaving or by beginning a later one, has arrived by now: it is
// FenceMargin since this node learnt of that. A fence that monitors are certain of
// includes that time.
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
