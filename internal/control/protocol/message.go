package protocol

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// MessageType is the kind of a Message.
type MessageType uint8

// The messages between the control machines of two nodes.
const (
	// MessageChange forwards an operator's order to the leader of the configuration.
	MessageChange MessageType = iota + 1
	// MessageChangeReply answers a forwarded order.
	MessageChangeReply
	// MessageRegister asks the leader of a shard to register the sender, so that
	// acknowledgements wait for its confirmation.
	MessageRegister
	// MessageRegisterReply contains the revision that the node must have received before
	// it may serve, a later incarnation in which the node is registered, a challenge, or
	// the leader of the shard.
	MessageRegisterReply
	// MessageConfirm contains the revisions that the sender serves, and those that it has
	// drained (see ShardRevision).
	MessageConfirm
	// MessageConfirmRequest asks for a MessageConfirm that the sender waits for. If Term is
	// set, the sender leads the shard in that term.
	MessageConfirmRequest
	// MessageWitnessRequest asks for the revision of the newest state of a shard that was
	// relayed to the receiver, because the shard's group lost the majority of its disks.
	// Term is the term in which the group is formed anew.
	MessageWitnessRequest
	// MessageWitnessReply contains the revision of the newest state that was relayed to
	// the sender, and the newest term that the sender knew before the request.
	MessageWitnessReply
	// MessageEndpoints forwards a reading of the platform's list; its payload is a
	// listing.Message.
	MessageEndpoints
	// MessageEndpointsRequest asks for a newer reading; its payload is a listing.Message.
	MessageEndpointsRequest
	// MessageReadSource asks the leader of the configuration shard for the source
	// document in force, in a read that a quorum confirms.
	MessageReadSource
	// MessageReadSourceReply answers a MessageReadSource.
	MessageReadSourceReply
	// MessageReadRevision asks the leader of the configuration shard for the revision of
	// the configuration, in a read that a quorum confirms.
	MessageReadRevision
	// MessageReadRevisionReply answers a MessageReadRevision.
	MessageReadRevisionReply
)

// ShardRevision contains the revisions of one shard that a node confirms.
type ShardRevision struct {
	Shard uint32
	// Revision is the newest revision that the node serves.
	Revision uint64
	// Drained is the newest revision for which the node has no request left on any
	// replica that is out of service in the revision.
	Drained uint64
}

// Message is a message between control machines. Fields that a type does not use are zero.
type Message struct {
	Type  MessageType
	Shard uint32
	// Request is the number of a request; the reply contains the same number.
	Request     uint64
	Incarnation member.Incarnation
	// Payload is an encoded controlpb.Command, controlpb.Answer,
	// ridgeswitchv1.Source or listing.Message.
	Payload []byte
	// Revision is a revision of the shard's state. In a MessageRegister, and in a
	// MessageRegisterReply that neither accepts the registration nor names a later
	// incarnation, it is the number of the challenge instead; 0 if there is none.
	Revision uint64
	// Leader is the leader of the shard that the sender knows; empty if it knows none.
	Leader member.ID
	// Accepted means that the sender leads the shard and has fulfilled the request.
	Accepted  bool
	Revisions []ShardRevision
	// Term is a term of the shard's group that the sender knows.
	Term uint64
}
