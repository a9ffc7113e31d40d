package control

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// outbox owns the messages that result from an input, in the order in which they are to be
// sent. It implements protocol.Transport.
type outbox struct {
	self    member.ID
	members *memberTable
	// receive handles a control message of this node to itself.
	receive func(from member.ID, message protocol.Message)
	sends   []Send
}

// Send implements protocol.Transport. A message for this node itself is handled at once.
func (o *outbox) Send(to member.ID, message protocol.Message) {
	if to == o.self {
		o.receive(to, message)
		return
	}
	o.add(to, wire.Envelope{Shard: message.Shard, Control: &message})
}

// sendReplication queues a message for another member of a shard's group.
func (o *outbox) sendReplication(to member.ID, shardID uint32, message replication.Message) {
	o.add(to, wire.Envelope{Shard: shardID, Replication: &message})
}

func (o *outbox) sendRelay(outbound []relaytree.Outbound) {
	for _, out := range outbound {
		message := out.Message
		o.add(out.To, wire.Envelope{Relay: &message})
	}
}

// sendMembership queues messages of the membership protocol. Such a message carries the
// address itself if the ID of its receiver is not known yet.
func (o *outbox) sendMembership(outbound []membership.Outbound) {
	for _, out := range outbound {
		message := out.Message
		o.add(out.To, wire.Envelope{Membership: &message})
		if out.Address != "" {
			o.sends[len(o.sends)-1].Address = out.Address
		}
	}
}

func (o *outbox) add(to member.ID, envelope wire.Envelope) {
	envelope.From = o.self
	o.sends = append(o.sends, Send{To: to, Address: o.members.addresses[to], Envelope: envelope})
}

// take returns the queued messages and empties the queue.
func (o *outbox) take() []Send {
	sends := o.sends
	o.sends = nil
	return sends
}
