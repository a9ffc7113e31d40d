package replication

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Peer is another member with a disk, whether it votes or not.
type Peer struct {
	ID member.ID
	// Left tells that the member announced that it stops.
	Left bool
}

// SetPeers tells which members with a disk are known at present, for instance
// by gossip. The leader sends the log to all of them: those without a vote
// follow as learners, and are given one when they have caught up. It has no
// bearing on safety.
func (g *Group) SetPeers(now time.Duration, peers []Peer) {
	g.advanceClock(now)
	g.peers = make([]Peer, 0, len(peers))
	for _, peer := range peers {
		if peer.ID != "" && peer.ID != g.cfg.Self && g.findPeer(peer.ID) == nil {
			g.peers = append(g.peers, peer)
		}
	}
	if g.role == RoleLeader {
		g.trackMembers()
	}
}

// findPeer returns what is known of the peer, or nil.
func (g *Group) findPeer(id member.ID) *Peer {
	index := slices.IndexFunc(g.peers, func(peer Peer) bool { return peer.ID == id })
	if index < 0 {
		return nil
	}
	return &g.peers[index]
}

func (g *Group) hasLeft(id member.ID) bool {
	peer := g.findPeer(id)
	return peer != nil && peer.Left
}

// recognizes tells whether the member has a place or is a peer.
func (g *Group) recognizes(id member.ID) bool {
	return g.slots().position(id) >= 0 || g.findPeer(id) != nil
}

// otherMembers returns the other members: the places, then the peers without one.
func (g *Group) otherMembers() []member.ID {
	group := g.slots()
	others := make([]member.ID, 0, len(group)+len(g.peers))
	for _, slot := range group {
		if slot.ID != g.cfg.Self {
			others = append(others, slot.ID)
		}
	}
	for _, peer := range g.peers {
		if group.position(peer.ID) < 0 {
			others = append(others, peer.ID)
		}
	}
	return others
}

// trackMembers begins to track the members that the leader does not track yet.
// It forgets none: a late message of a lost incarnation must not count as that
// of a new one.
func (g *Group) trackMembers() {
	for _, id := range g.otherMembers() {
		if g.leadership.progress[id] != nil {
			continue
		}
		g.leadership.progress[id] = &progress{
			next:             g.log.lastIndex() + 1,
			lastContact:      g.now,
			contactHeartbeat: g.leadership.heartbeatNumber,
		}
	}
	for _, voter := range g.log.groups.latest().voters {
		if follower := g.leadership.progress[voter.ID]; follower != nil && follower.incarnation == 0 {
			// Until the member is heard in a later incarnation.
			follower.incarnation = voter.Incarnation
		}
	}
}
