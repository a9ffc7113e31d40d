package replication

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// groupSince is a group and the index of the entry with which it began. It is
// never changed, and so shared with those who ask for it.
type groupSince struct {
	index  uint64
	places places
	// voters and voterIDs follow from places.
	voters   []Voter
	voterIDs []member.ID
}

func newGroupSince(index uint64, group places) groupSince {
	since := groupSince{index: index, places: group, voters: group.voters()}
	for _, voter := range since.voters {
		since.voterIDs = append(since.voterIDs, voter.ID)
	}
	return since
}

// groupHistory holds the groups of a log, oldest first and at least one. A
// change takes effect when its entry is appended, and is undone when the entry
// is truncated.
type groupHistory []groupSince

// latest returns the group that is in effect.
func (h groupHistory) latest() groupSince {
	return h[len(h)-1]
}

// at returns the group after the entry at index.
func (h groupHistory) at(index uint64) places {
	for i := len(h) - 1; i > 0; i-- {
		if h[i].index <= index {
			return h[i].places
		}
	}
	return h[0].places
}

// appended takes in an entry that was checked.
func (h groupHistory) appended(entry Entry) groupHistory {
	if entry.Kind != EntryGroupChange {
		return h
	}
	changed, err := decodePlaces(entry.Command)
	if err != nil {
		return h
	}
	return append(h, newGroupSince(entry.Index, changed))
}

// truncated undoes the changes from index on.
func (h groupHistory) truncated(index uint64) groupHistory {
	for len(h) > 1 && h[len(h)-1].index >= index {
		h = h[:len(h)-1]
	}
	return h
}

// compacted drops the groups that ended at or before index.
func (h groupHistory) compacted(index uint64) groupHistory {
	for len(h) > 1 && h[1].index <= index {
		h = h[1:]
	}
	return h
}
