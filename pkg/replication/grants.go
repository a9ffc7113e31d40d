package replication

import (
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// grants is a set of members that granted (or rejected) a request, each in the incarnation in
// which it did so.
type grants []Voter

// includes reports whether the set contains the member in any incarnation.
func (g grants) includes(id member.ID) bool {
	return slices.ContainsFunc(g, func(voter Voter) bool { return voter.ID == id })
}

// with returns the set with the voter added, unless the set already contains it.
func (g grants) with(voter Voter) grants {
	if slices.Contains(g, voter) {
		return g
	}
	return append(g, voter)
}

// includeMajority reports whether the set contains a majority of the group's voters.
func (g grants) includeMajority(group slots) bool {
	granted := 0
	for _, voter := range group.voters() {
		if slices.Contains(g, voter) {
			granted++
		}
	}
	return granted >= group.quorum()
}

// includeSlots reports whether the set contains the members of all slots, in any incarnation.
func (g grants) includeSlots(group slots) bool {
	for _, slot := range group {
		if !g.includes(slot.ID) {
			return false
		}
	}
	return true
}

// includePeers reports whether the set contains all peers except those that announced that
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
