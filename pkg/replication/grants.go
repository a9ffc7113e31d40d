package replication

import (
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// grants are the members that granted (or rejected) a request, in the incarnation
// in which they did.
type grants []Voter

// includes tells whether the member is among them in any incarnation.
func (g grants) includes(id member.ID) bool {
	return slices.ContainsFunc(g, func(voter Voter) bool { return voter.ID == id })
}

// with returns the grants and that of the voter, which counts once.
func (g grants) with(voter Voter) grants {
	if slices.Contains(g, voter) {
		return g
	}
	return append(g, voter)
}

// includeMajority tells whether they are those of a majority of the group's voters.
func (g grants) includeMajority(group slots) bool {
	granted := 0
	for _, voter := range group.voters() {
		if slices.Contains(g, voter) {
			granted++
		}
	}
	return granted >= group.quorum()
}

// includeSlots tells whether the members of all slots are among them.
func (g grants) includeSlots(group slots) bool {
	for _, slot := range group {
		if !g.includes(slot.ID) {
			return false
		}
	}
	return true
}

// includePeers tells whether all peers are among them that have not announced that
// they stop.
func (g grants) includePeers(peers peerSet) bool {
	for _, peer := range peers {
		if !peer.Left && !g.includes(peer.ID) {
			return false
		}
	}
	return true
}

// recoveredGroup returns the group with each slot given to the incarnation that has granted,
// with a vote.
func (g grants) recoveredGroup(group slots) slots {
	recovered := slices.Clone(group)
	for _, voter := range g {
		if position := recovered.position(voter.ID); position >= 0 {
			recovered[position] = Slot{Voter: voter}
		}
	}
	return recovered
}
