package driver

import (
	"sync/atomic"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// livePeers publishes the live nodes, so that requests can read them without waiting for
// the control goroutine.
type livePeers struct {
	published atomic.Pointer[peerSet]
	// digest is the digest of the whole table of members at the last publication. It covers
	// all records, because whether a member is reachable also depends on the records of
	// its monitors.
	digest uint64
}

// peerSet contains the live nodes, this one included, sorted by ID.
type peerSet struct {
	all []member.Info
	// serving contains the nodes that serve callers: those with a traffic address.
	serving []member.Info
}

// update publishes the peers again when the table of members has changed.
func (p *livePeers) update(machine *control.Machine) {
	if p.published.Load() != nil && machine.PeersDigest() == p.digest {
		return
	}
	p.digest = machine.PeersDigest()
	p.published.Store(newPeerSet(machine.LivePeers()))
}

func newPeerSet(live []member.Info) *peerSet {
	peers := &peerSet{all: live}
	for _, peer := range live {
		if peer.TrafficAddress != "" {
			peers.serving = append(peers.serving, peer)
		}
	}
	return peers
}
