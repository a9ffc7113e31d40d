package driver

import (
	"sync/atomic"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// TrafficReceiver takes in what other nodes report of their traffic. It is safe
// for concurrent use.
type TrafficReceiver interface {
	TakeBatch(batch gossip.Batch)
}

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

// follow publishes the peers again when the table of members has changed.
func (p *livePeers) follow(machine *control.Machine) {
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

// Peers returns the live nodes that serve callers; read only.
func (d *Driver) Peers() []member.Info {
	if published := d.peers.published.Load(); published != nil {
		return published.serving
	}
	return nil
}

// LiveNodes returns all live nodes; read only.
func (d *Driver) LiveNodes() []member.Info {
	if published := d.peers.published.Load(); published != nil {
		return published.all
	}
	return nil
}

// SendTraffic sends a batch of updates about traffic to other nodes. It may get
// lost.
func (d *Driver) SendTraffic(send gossip.Outbound) {
	envelope := wire.Envelope{
		Deployment: d.options.Deployment,
		From:       d.machine.Self().ID,
		Traffic:    &send.Batch,
	}
	frame := wire.Encode(envelope)
	for _, to := range send.To {
		d.sendFrame(to.Address, to.Zone, frame)
	}
}

// receiveTraffic passes updates about traffic on. It does not go through the
// control goroutine, as it changes no control state.
func (d *Driver) receiveTraffic(envelope wire.Envelope) {
	if d.options.Traffic != nil {
		d.options.Traffic.TakeBatch(*envelope.Traffic)
	}
}
