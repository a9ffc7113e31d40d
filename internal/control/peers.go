package control

import (
	"sync/atomic"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/shared"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// TrafficReceiver takes in what other nodes tell of their traffic. It is safe
// for concurrent use.
type TrafficReceiver interface {
	TakeShared(node string, message *shared.Message)
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

// ShareTraffic sends what this node tells of its traffic to all other nodes that
// serve callers. What gets lost is not repeated.
func (d *Driver) ShareTraffic(message *shared.Message) {
	self := d.machine.config.Self
	others := lo.Reject(d.Peers(), func(peer member.Info, _ int) bool { return peer.ID == self.ID })
	if len(others) == 0 {
		return
	}
	envelope := wire.Envelope{Deployment: d.options.Deployment, From: self.ID, Traffic: message}
	for _, peer := range others {
		d.options.Sender.Send(peer.Address, wire.Encode(envelope))
	}
}

// receiveTraffic hands a message about traffic on. It does not go through the
// control goroutine, as it changes no control state.
func (d *Driver) receiveTraffic(envelope wire.Envelope) {
	if d.options.Traffic != nil {
		d.options.Traffic.TakeShared(string(envelope.From), envelope.Traffic)
	}
}
