package membership

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// send addresses a message to a member of the table.
func (m *Machine) send(id member.ID, msg Message) {
	if address, known := m.table.addressOf(id); known {
		m.outbox = append(m.outbox, Outbound{To: id, Address: address, Message: m.withSender(msg)})
	}
}

// sendTo addresses a message to a node that the table may not have.
func (m *Machine) sendTo(info member.Info, msg Message) {
	m.outbox = append(m.outbox, Outbound{To: info.ID, Address: info.Address, Message: m.withSender(msg)})
}

// reply addresses a message to the sender of another, which the table may not have.
func (m *Machine) reply(received Message, msg Message) {
	address := received.From.Address
	if known, found := m.table.addressOf(received.From.ID); found && address == "" {
		address = known
	}
	m.sendTo(member.Info{ID: received.From.ID, Address: address}, msg)
}

// withSender fills in what each message states of its sender.
func (m *Machine) withSender(msg Message) Message {
	msg.From = m.table.selfRecord().Info
	if msg.omitsSenderInfo() {
		msg.From = member.Info{ID: msg.From.ID}
	}
	if msg.Type != MessageHeartbeatReply {
		msg.Incarnation = m.fence.number
	}
	msg.Boot = m.config.Self.Incarnation
	msg.Digest = m.table.digest
	return msg
}

// flush adds gossip if some is due, and returns all messages to send. A node that left
// passes on at once what it still hears.
func (m *Machine) flush() []Outbound {
	if m.gossip.due(m.now, m.fence.left) {
		records, receivers := m.gossip.take(m.now)
		for _, id := range receivers {
			m.send(id, Message{Type: MessageGossip, Records: records})
		}
	}
	outbox := m.outbox
	m.outbox = nil
	return outbox
}
