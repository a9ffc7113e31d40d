package membership

import (
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// idSet is a sorted set of members, so that it is walked in the same order
// everywhere. It is meant for the few members that a tick has to look at, in
// place of the whole table.
type idSet []member.ID

// put makes id an element or not.
func (s *idSet) put(id member.ID, wanted bool) {
	at, found := slices.BinarySearch(*s, id)
	switch {
	case wanted && !found:
		*s = slices.Insert(*s, at, id)
	case !wanted && found:
		*s = slices.Delete(*s, at, at+1)
	}
}

// file keeps the sets that follow an entry's record: those that chose this node as
// a monitor, and those whose life is over.
func (m *Machine) file(id member.ID, e *entry) {
	m.watched.put(id, e.record.namesMonitor(m.config.Self.ID))
	m.fenced.put(id, e.record.certainlyFenced())
}

// unfile takes a member out of those sets.
func (m *Machine) unfile(id member.ID) {
	m.watched.put(id, false)
	m.fenced.put(id, false)
}
