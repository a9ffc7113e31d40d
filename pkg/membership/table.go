package membership

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// AdvanceIncarnationPast begins a life after the given one, unless the present life is later
// already. It is for a node that learns elsewhere of an earlier process of its
// own with a higher incarnation, such as after its wall clock was set back while
// nobody was left who remembers that process.
func (m *Machine) AdvanceIncarnationPast(now time.Duration, incarnation member.Incarnation) []Outbound {
	m.advance(now)
	if incarnation > m.incarnation.number {
		m.skipIncarnationsPast(incarnation)
	}
	return m.flush()
}

// Records returns the table as Members does, but shares memory with it: read only,
// and until the next input.
func (m *Machine) Records() []Record {
	records := make([]Record, 0, len(m.sortedIDs))
	for _, id := range m.sortedIDs {
		records = append(records, m.table[id].record)
	}
	return records
}

// Size is the number of members in the table, this node included.
func (m *Machine) Size() int { return len(m.sortedIDs) }

// Digest summarises the table: it changes whenever a record does. It spares
// callers that follow the table a copy of it.
func (m *Machine) Digest() uint64 {
	return m.digest
}
