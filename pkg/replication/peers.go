package replication

import (
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Peer is another member with a disk, with or without a vote.
type Peer struct {
	ID member.ID
	// Left is true if the member announced that it stops.
	Left bool
}

// peerSet contains the other known members, in the order in which the driver gave them.
type peerSet []Peer

// newPeerSet removes self, members with an empty ID, and all but the first occurrence of an
// ID.
func newPeerSet(self member.ID, peers []Peer) peerSet {
	set := make(peerSet, 0, len(peers))
	for _, peer := range peers {
		if peer.ID != "" && peer.ID != self && set.find(peer.ID) == nil {
			set = append(set, peer)
		}
	}
	return set
}

// find returns the peer, or nil.
func (s peerSet) find(id member.ID) *Peer {
	index := slices.IndexFunc(s, func(peer Peer) bool { return peer.ID == id })
	if index < 0 {
		return nil
	}
	return &s[index]
}

// hasLeft reports whether the member announced that it stops.
func (s peerSet) hasLeft(id member.ID) bool {
	peer := s.find(id)
	return peer != nil && peer.Left
}
