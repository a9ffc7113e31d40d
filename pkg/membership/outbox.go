package membership

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// outbox owns the messages that the present input leads to, in the order in which they
// are to be sent. All parts send through it, so that each message states the same of its
// sender: the node's present incarnation, its process, and the digest of its table.
type outbox struct {
	table *memberTable
	// boot identifies this process.
	boot     member.Incarnation
	messages []Outbound
}

// send addresses a message to a member of the table. It does nothing for others.
func (o *outbox) send(id member.ID, msg Message) {
	if address, known := o.table.addressOf(id); known {
		o.add(id, address, msg)
	}
}

// sendTo addresses a message to a node that the table may not have.
func (o *outbox) sendTo(info member.Info, msg Message) {
	o.add(info.ID, info.Address, msg)
}

// sendToSeed addresses a message to whichever node listens on a seed's address.
func (o *outbox) sendToSeed(address string, msg Message) {
	o.add("", address, msg)
}

// reply addresses a message to the sender of another, which the table may not have.
func (o *outbox) reply(received, msg Message) {
	address := received.From.Address
	if known, found := o.table.addressOf(received.From.ID); found && address == "" {
		address = known
	}
	o.add(received.From.ID, address, msg)
}

// add completes a message by what it states of its sender. A heartbeat reply echoes the
// incarnation of the heartbeat instead of stating the sender's.
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

// take returns the messages, and forgets them.
func (o *outbox) take() []Outbound {
	messages := o.messages
	o.messages = nil
	return messages
}
