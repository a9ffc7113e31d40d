package claims

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// claim is a claim of this node.
type claim struct {
	number   Number
	key      Key
	acquired bool
	// deadline is when an undecided claim is given up.
	deadline time.Duration
	// validUntil is when a held claim is lost.
	validUntil time.Duration
	// nextSendAt is when silent homes are asked again, or the next round begins.
	nextSendAt time.Duration
	attempt    attempt
}

// attempt is one asking or renewal of all homes.
type attempt struct {
	number uint64
	epoch  uint64
	// sentAt is when the first message of the round was sent.
	sentAt time.Duration
	// homes are those of each set.
	homes [][]member.ID
	// replies are what the homes have said.
	replies map[member.ID]Kind
}

// allHomes returns all homes, each once.
func (r *attempt) allHomes() []member.ID {
	var all []member.ID
	for _, homes := range r.homes {
		for _, id := range homes {
			if !slices.Contains(all, id) {
				all = append(all, id)
			}
		}
	}
	return all
}

// count returns how many of some homes have answered so.
func (r *attempt) count(homes []member.ID, matches func(Kind) bool) int {
	count := 0
	for _, id := range homes {
		if answer, answered := r.replies[id]; answered && matches(answer) {
			count++
		}
	}
	return count
}

// granted tells whether a majority has granted in every set.
func (r *attempt) granted() bool {
	for _, homes := range r.homes {
		if r.count(homes, isGranted) < majority(len(homes)) {
			return false
		}
	}
	return len(r.homes) > 0
}

// hopeless tells whether some set can no longer have a majority.
func (r *attempt) hopeless() bool {
	for _, homes := range r.homes {
		refused := r.count(homes, func(answer Kind) bool { return !isGranted(answer) })
		if len(homes)-refused < majority(len(homes)) {
			return true
		}
	}
	return false
}

// conflicting tells whether a home knows another claim.
func (r *attempt) conflicting() bool {
	for _, answer := range r.replies {
		if answer == Conflict {
			return true
		}
	}
	return false
}

func isGranted(answer Kind) bool {
	return answer == Granted
}
