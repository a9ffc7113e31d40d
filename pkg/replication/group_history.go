package replication

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// groupState is a group and the index of the entry that defines it. It is never modified, and
// so may be shared.
type groupState struct {
	index uint64
	slots slots
	// voters and voterIDs are derived from slots.
	voters   []Voter
	voterIDs []member.ID
}

func newGroupState(index uint64, group slots) groupState {
	state := groupState{index: index, slots: group, voters: group.voters()}
	for _, voter := range state.voters {
		state.voterIDs = append(state.voterIDs, voter.ID)
	}
	return state
}

// groupHistory contains the groups that a log defines, oldest first, and is never empty. A
// change takes effect when its entry is appended, and is undone when the entry is truncated.
type groupHistory []groupState

// latest returns the group in effect.
func (h groupHistory) latest() groupState {
	return h[len(h)-1]
}

// at returns the group in effect after the entry at index.
func (h groupHistory) at(index uint64) slots {
	for i := len(h) - 1; i > 0; i-- {
		if h[i].index <= index {
			return h[i].slots
		}
	}
	return h[0].slots
}

// appended returns the history after appending an entry that has passed Entry.check.
func (h groupHistory) appended(entry Entry) groupHistory {
	if entry.Kind != EntryGroupChange {
		return h
	}
	changed, err := decodeSlots(entry.Command)
	if err != nil {
		return h
	}
	return append(h, newGroupState(entry.Index, changed))
}

// truncated returns the history without the changes at index and later.
func (h groupHistory) truncated(index uint64) groupHistory {
	for len(h) > 1 && h[len(h)-1].index >= index {
		h = h[:len(h)-1]
	}
	return h
}

// compacted returns the history without the groups that were replaced at or before index.
func (h groupHistory) compacted(index uint64) groupHistory {
	for len(h) > 1 && h[1].index <= index {
		h = h[1:]
	}
	return h
}
