package replication

import (
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Peer is another member with a disk, whether it votes or not.
type Peer struct {
	ID member.ID
	// Left tells that the member announced that it stops.
	Left bool
}

// peerSet is the other members that are known, in the order they were given in.
type peerSet []Peer

// newPeerSet drops self, members without an ID, and all but the first of those
// that are listed twice.
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

// hasLeft tells whether the member announced that it stops.
func (s peerSet) hasLeft(id member.ID) bool {
	peer := s.find(id)
	return peer != nil && peer.Left
}
