package membership

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// outbox owns the messages to send in response to the present input, in the order of
// sending. All components send through it. It completes each message with the sender's
// information: the node's present incarnation, its process and the digest of its table.
type outbox struct {
	table *memberTable
	// boot identifies this process.
	boot     member.Incarnation
	messages []Outbound
}

// send adds a message to a member of the table. It does nothing if id isn't in the table.
func (o *outbox) send(id member.ID, msg Message) {
	if address, known := o.table.addressOf(id); known {
		o.add(id, address, msg)
	}
}

// sendTo adds a message to a node that may not be in the table.
func (o *outbox) sendTo(info member.Info, msg Message) {
	o.add(info.ID, info.Address, msg)
}

// sendToSeed adds a message to whichever node listens on a seed's address.
func (o *outbox) sendToSeed(address string, msg Message) {
	o.add("", address, msg)
}

// reply adds a message to the sender of a received message, which may not be in the table.
func (o *outbox) reply(received, msg Message) {
	address := received.From.Address
	if known, found := o.table.addressOf(received.From.ID); found && address == "" {
		address = known
	}
	o.add(received.From.ID, address, msg)
}

// add completes a message with the sender's information and adds it. A heartbeat reply keeps
// its Incarnation, which echoes that of the heartbeat.
func (o *outbox) add(to member.ID, address string, msg Message) {
	msg.From = o.table.selfRecord().Info
	if msg.Type != MessageHeartbeatReply {
		msg.Incarnation = msg.From.Incarnation
	}
	if msg.omitsSenderInfo() {
		msg.From = member.Info{ID: msg.From.ID}
	}
	msg.Boot = o.boot
	msg.Digest = o.table.digest
	o.messages = append(o.messages, Outbound{To: to, Address: address, Message: msg})
}

// take returns the messages and empties the outbox.
func (o *outbox) take() []Outbound {
	messages := o.messages
	o.messages = nil
	return messages
}
