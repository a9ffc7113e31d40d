package driver

import (
	"sync/atomic"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// livePeers are the live nodes, for traffic to read without waiting for
// control.
type livePeers struct {
	published atomic.Pointer[peerSet]
	// digest is that of the table of members when they were published. Whether a
	// member is reachable depends on the records of others too, its monitors.
	digest uint64
}

// peerSet are the live nodes, this one included, sorted by ID.
type peerSet struct {
	all     []member.Info
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
