package control

import (
	"sync/atomic"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/shared"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// TrafficReceiver takes in what other nodes tell of their traffic. It is safe
// for concurrent use.
type TrafficReceiver interface {
	TakeBatch(batch shared.Batch)
}

// livePeers are the nodes that serve callers, for traffic to read without
// waiting for control.
type livePeers struct {
	published atomic.Pointer[[]member.Info]
	// digest is that of the members when they were published.
	digest uint64
}

// follow publishes the peers again when the members have changed.
func (p *livePeers) follow(machine *Machine) {
	if p.published.Load() != nil && machine.membersDigest == p.digest {
		return
	}
	p.digest = machine.membersDigest
	peers := machine.servingMembers()
	p.published.Store(&peers)
}

// servingMembers are the live nodes that serve callers, this one included if it
// does, sorted by ID.
func (m *Machine) servingMembers() []member.Info {
	var serving []member.Info
	for _, record := range m.members.Members() {
		if record.Info.TrafficAddress != "" && m.reachable(record.Info.ID) {
			serving = append(serving, record.Info)
		}
	}
	return serving
}

// Peers returns the live nodes that serve callers; read only.
func (d *Driver) Peers() []member.Info {
	published := d.peers.published.Load()
	if published == nil {
		return nil
	}
	return *published
}

// SendTraffic sends a batch of news about traffic to another node. It may get
// lost.
func (d *Driver) SendTraffic(send shared.Outbound) {
	envelope := wire.Envelope{
		Deployment: d.options.Deployment,
		From:       d.machine.config.Self.ID,
		Traffic:    &send.Batch,
	}
	d.options.Sender.Send(send.To.Address, wire.Encode(envelope))
}

// receiveTraffic hands news about traffic on. It does not go through the
// control goroutine, as it changes no control state.
func (d *Driver) receiveTraffic(envelope wire.Envelope) {
	if d.options.Traffic != nil {
		d.options.Traffic.TakeBatch(*envelope.Traffic)
	}
}
