package claims

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// attempt is one round of messages to all homes of a claim, which ask to grant or to renew
// it, with the replies to them.
type attempt struct {
	number uint64
	epoch  uint64
	// sentAt is when the first message of the attempt was sent.
	sentAt time.Duration
	// homes are those of each set.
	homes   [][]member.ID
	replies map[member.ID]Kind
}

// allHomes returns all homes, each once.
func (a *attempt) allHomes() []member.ID {
	var all []member.ID
	for _, homes := range a.homes {
		for _, id := range homes {
			if !slices.Contains(all, id) {
				all = append(all, id)
			}
		}
	}
	return all
}

// addReply records a reply. What was granted once in an attempt stays granted.
func (a *attempt) addReply(from member.ID, reply Kind) {
	if a.replies[from] != Granted || reply == Granted {
		a.replies[from] = reply
	}
}

// granted tells whether a majority has granted in every set.
func (a *attempt) granted() bool {
	for _, homes := range a.homes {
		grants, _ := a.count(homes)
		if grants < majority(len(homes)) {
			return false
		}
	}
	return len(a.homes) > 0
}

// cannotSucceed tells whether some set can no longer have a majority.
func (a *attempt) cannotSucceed() bool {
	for _, homes := range a.homes {
		_, rejections := a.count(homes)
		if len(homes)-rejections < majority(len(homes)) {
			return true
		}
	}
	return false
}

// count returns how many of some homes have granted, and how many have rejected.
func (a *attempt) count(homes []member.ID) (grants, rejections int) {
	for _, id := range homes {
		reply, replied := a.replies[id]
		switch {
		case !replied:
		case reply == Granted:
			grants++
		default:
			rejections++
		}
	}
	return grants, rejections
}

// hasConflict tells whether a home remembers another claim of the key.
func (a *attempt) hasConflict() bool {
	for _, reply := range a.replies {
		if reply == Conflict {
			return true
		}
	}
	return false
}
