package membership

import (
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// idSet is a set of member IDs, kept sorted so that all iterations have the same order. It
// indexes the few members that a tick examines, so that a tick needn't scan the whole table.
type idSet []member.ID

// set adds id to the set if present is true, and removes it otherwise.
func (s *idSet) set(id member.ID, present bool) {
	at, found := slices.BinarySearch(*s, id)
	switch {
	case present && !found:
		*s = slices.Insert(*s, at, id)
	case !present && found:
		*s = slices.Delete(*s, at, at+1)
	}
}
