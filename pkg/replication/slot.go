package replication

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// FoundingIncarnation is the incarnation of all members that a group is founded
// with.
const FoundingIncarnation = 1

// Voter is a member together with one incarnation of its durable state.
// Promises and acknowledgements are those of an incarnation: a member that lost
// its disk goes on under a new incarnation, which knows nothing of them.
type Voter struct {
	ID member.ID
	// Incarnation names the durable state among those that the member has had. It
	// never comes back.
	Incarnation uint64
}

// Slot is one place in the agreed order of a group. A new voter gets a place
// at the end; one that lost its durable state gets its place back.
type Slot struct {
	Voter
	// Learner tells that the place is kept for the member, which has no vote
	// until it holds the log.
	Learner bool
}

// slots are all places of a group in the agreed order.
type slots []Slot

// foundingSlots is the group before the first entry of the log.
func foundingSlots(group []member.ID) slots {
	founded := make(slots, len(group))
	for i, id := range group {
		founded[i] = Slot{Voter: Voter{ID: id, Incarnation: FoundingIncarnation}}
	}
	return founded
}

// voters returns those whose promises and acknowledgements count.
func (p slots) voters() []Voter {
	voters := make([]Voter, 0, len(p))
	for _, slot := range p {
		if !slot.Learner {
			voters = append(voters, slot.Voter)
		}
	}
	return voters
}

// votes tells whether the member has a vote in that incarnation.
func (p slots) votes(voter Voter) bool {
	return slices.Contains(p, Slot{Voter: voter})
}

// position returns the place of the member, or -1.
func (p slots) position(id member.ID) int {
	return slices.IndexFunc(p, func(slot Slot) bool { return slot.ID == id })
}

func (p slots) quorum() int {
	voters := 0
	for _, slot := range p {
		if !slot.Learner {
			voters++
		}
	}
	return voters/2 + 1
}

// with returns a copy in which the position is filled anew.
func (p slots) with(position int, filled Slot) slots {
	changed := slices.Clone(p)
	changed[position] = filled
	return changed
}

// without returns a copy without the place at position.
func (p slots) without(position int) slots {
	return slices.Delete(slices.Clone(p), position, position+1)
}

// check finds places that no group can have.
func (p slots) check() error {
	if len(p.voters()) == 0 {
		return errors.New("the group has no voter")
	}
	ids := make([]member.ID, 0, len(p))
	for _, slot := range p {
		if slot.Incarnation == 0 {
			return errors.New("a place of the group has no incarnation")
		}
		ids = append(ids, slot.ID)
	}
	return checkDistinct(ids)
}

// encodeSlots returns the command of an EntryGroupChange: the whole group
// after it.
func encodeSlots(group slots) []byte {
	// Marshal fails for types only that these are not.
	data, _ := json.Marshal(group)
	return data
}

func decodeSlots(command []byte) (slots, error) {
	var group slots
	if err := json.Unmarshal(command, &group); err != nil {
		return nil, errors.Wrap(err, "decode the places of a group")
	}
	return group, group.check()
}
