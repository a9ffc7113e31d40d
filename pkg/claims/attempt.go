package claims

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// attempt is one round of Acquire or Renew messages to all homes of a claim, with the replies
// to them.
type attempt struct {
	number uint64
	epoch  uint64
	// sentAt is when the first message of the attempt was sent.
	sentAt time.Duration
	// homes are the homes of the key in each set of the directory.
	homes   [][]member.ID
	replies map[member.ID]Kind
}

// allHomes returns the homes of all sets without duplicates.
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

// addReply records the latest reply of a home. A grant is never replaced by another reply to
// the same attempt.
func (a *attempt) addReply(from member.ID, reply Kind) {
	if a.replies[from] != Granted || reply == Granted {
		a.replies[from] = reply
	}
}

// granted reports whether a majority of the homes in every set has granted.
func (a *attempt) granted() bool {
	for _, homes := range a.homes {
		grants, _ := a.count(homes)
		if grants < majority(len(homes)) {
			return false
		}
	}
	return len(a.homes) > 0
}

// cannotSucceed reports whether so many homes of some set have rejected that no majority can
// grant.
func (a *attempt) cannotSucceed() bool {
	for _, homes := range a.homes {
		_, rejections := a.count(homes)
		if len(homes)-rejections < majority(len(homes)) {
			return true
		}
	}
	return false
}

// count returns how many of the given homes have granted, and how many have rejected.
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

// hasConflict reports whether a home has replied that it remembers another claim of the key.
func (a *attempt) hasConflict() bool {
	for _, reply := range a.replies {
		if reply == Conflict {
			return true
		}
	}
	return false
}
