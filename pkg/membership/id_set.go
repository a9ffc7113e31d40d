package membership

import (
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// idSet is a sorted set of members, so that it is iterated in the same order
// everywhere. It is meant for the few members that a tick has to look at, instead of
// the whole table.
type idSet []member.ID

// set adds id to the set, or removes it.
func (s *idSet) set(id member.ID, present bool) {
	at, found := slices.BinarySearch(*s, id)
	switch {
	case present && !found:
		*s = slices.Insert(*s, at, id)
	case !present && found:
		*s = slices.Delete(*s, at, at+1)
	}
}
