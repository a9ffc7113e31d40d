package control

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// send queues a message for a node.
func (m *Machine) send(to member.ID, envelope wire.Envelope) {
	envelope.From = m.config.Self.ID
	m.output.Sends = append(m.output.Sends, Send{To: to, Address: m.members.addresses[to], Envelope: envelope})
}

// receiveControl handles a control message of a node, or of this node itself.
func (m *Machine) receiveControl(from member.ID, message protocol.Message) {
	switch message.Type {
	case protocol.MessageChange:
		m.leaderRequests.ReceiveChange(m.requestShard(message.Shard), from, message)
	case protocol.MessageReadSource, protocol.MessageReadRevision:
		m.receiveRead(from, message)
	case protocol.MessageChangeReply, protocol.MessageReadSourceReply, protocol.MessageReadRevisionReply:
		m.requests.ReceiveReply(m.now, from, message)
	case protocol.MessageRegister:
		m.registrar.Receive(m.registrationShard(message.Shard), from, message)
	case protocol.MessageRegisterReply:
		m.receiveRegisterReply(from, message)
	case protocol.MessageWitnessRequest:
		m.recovery.ReceiveRequest(from, message, m.members.incarnation())
	case protocol.MessageWitnessReply:
		m.recovery.ReceiveReply(from, message)
	case protocol.MessageConfirm:
		m.confirmations.Receive(from, message)
		m.rollout.Wake(m.now)
	case protocol.MessageConfirmRequest:
		m.receiveConfirmRequest(from, message)
	case protocol.MessageEndpoints:
		m.receiveEndpoints(from, message.Payload, listing.DecodeReading)
	case protocol.MessageEndpointsRequest:
		m.receiveEndpoints(from, message.Payload, listing.DecodeRequest)
	}
}

// sendControl queues a control message; one for this node itself is handled at
// once.
func (m *Machine) sendControl(to member.ID, message protocol.Message) {
	if to == m.config.Self.ID {
		m.receiveControl(to, message)
		return
	}
	m.send(to, wire.Envelope{Shard: message.Shard, Control: &message})
}

func (m *Machine) sendMembership(outbound []membership.Outbound) {
	for _, out := range outbound {
		message := out.Message
		address := out.Address
		if address == "" {
			address = m.members.addresses[out.To]
		}
		envelope := wire.Envelope{From: m.config.Self.ID, Membership: &message}
		m.output.Sends = append(m.output.Sends, Send{To: out.To, Address: address, Envelope: envelope})
	}
}

func (m *Machine) sendRelay(outbound []relaytree.Outbound) {
	for _, out := range outbound {
		message := out.Message
		m.send(out.To, wire.Envelope{Relay: &message})
	}
}
