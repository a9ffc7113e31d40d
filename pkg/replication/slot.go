package replication

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// FoundingIncarnation is the incarnation of all members that a group is founded with.
const FoundingIncarnation = 1

// Voter is a member together with one incarnation of its durable state. Votes and
// acknowledgements belong to an incarnation: a member that lost its disk continues in a new
// incarnation, which has no record of them.
type Voter struct {
	ID member.ID `json:"ID"`
	// Incarnation identifies the durable state among those that the member has had. It is
	// never reused.
	Incarnation uint64 `json:"Incarnation"`
}

// Slot is one position in the slot order of a group. A new voter gets a slot at the end or
// that of a removed voter; a voter that lost its durable state gets its slot back. The JSON
// form of a Slot is stored in logs.
type Slot struct {
	Voter
	// Learner is true if the slot is reserved for the member, which has no vote until it has
	// caught up with the log. Unlike this field, Config.Learner marks a member that never
	// takes a vote.
	Learner bool `json:"Learner"`
}

// slots are all slots of a group in slot order. They are never modified in place, and so may
// be shared.
type slots []Slot

// foundingSlots returns the group before the first entry of the log.
func foundingSlots(founders []member.ID) slots {
	founding := make(slots, len(founders))
	for i, id := range founders {
		founding[i] = Slot{Voter: Voter{ID: id, Incarnation: FoundingIncarnation}}
	}
	return founding
}

// voters returns the voters whose votes and acknowledgements count.
func (s slots) voters() []Voter {
	voters := make([]Voter, 0, len(s))
	for _, slot := range s {
		if !slot.Learner {
			voters = append(voters, slot.Voter)
		}
	}
	return voters
}

// votes reports whether the member has a vote in that incarnation.
func (s slots) votes(voter Voter) bool {
	return slices.Contains(s, Slot{Voter: voter})
}

// position returns the position of the member's slot, or -1.
func (s slots) position(id member.ID) int {
	return slices.IndexFunc(s, func(slot Slot) bool { return slot.ID == id })
}

// quorum returns how many voters form a majority of the group.
func (s slots) quorum() int {
	voters := 0
	for _, slot := range s {
		if !slot.Learner {
			voters++
		}
	}
	return majority(voters)
}

// majority returns how many of the given number of voters form a majority.
func majority(voters int) int {
	return voters/2 + 1
}

// with returns a copy with the given slot at position.
func (s slots) with(position int, slot Slot) slots {
	changed := slices.Clone(s)
	changed[position] = slot
	return changed
}

// without returns a copy without the slot at position.
func (s slots) without(position int) slots {
	return slices.Delete(slices.Clone(s), position, position+1)
}

// check returns an error for slots that are not a valid group.
func (s slots) check() error {
	if len(s.voters()) == 0 {
		return errors.New("the group has no voter")
	}
	ids := make([]member.ID, 0, len(s))
	for _, slot := range s {
		if slot.Incarnation == 0 {
			return errors.New("a slot of the group has the incarnation zero")
		}
		ids = append(ids, slot.ID)
	}
	return checkDistinct(ids)
}

// encodeSlots returns the command of an EntryGroupChange: the whole group after it.
func encodeSlots(group slots) []byte {
	// Marshal fails only for types that slots don't contain.
	data, _ := json.Marshal(group)
	return data
}

func decodeSlots(command []byte) (slots, error) {
	var group slots
	if err := json.Unmarshal(command, &group); err != nil {
		return nil, errors.Wrap(err, "decode the slots of a group")
	}
	return group, group.check()
}
