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
	// acknowledgements wait for it.
	MessageRegister
	// MessageRegisterReply carries the revision that the node must hold before it may
	// serve, a challenge, or the leader of the shard.
	MessageRegisterReply
	// MessageConfirm carries the revisions that the sender serves, and those that it has
	// drained (see ShardRevision).
	MessageConfirm
	// MessageConfirmRequest asks for a MessageConfirm that the sender waits for.
	MessageConfirmRequest
	// MessageWitnessRequest asks which state of a shard the receiver holds,
	// since the shard's group lost the majority of its disks. Term is that
	// under which the group is to be formed anew.
	MessageWitnessRequest
	// MessageWitnessReply carries the revision that the sender holds, and the newest
	// term that it had heard of before.
	MessageWitnessReply
	// MessageEndpoints passes a reading of the platform's list on; its payload is that
	// of a listing.Message.
	MessageEndpoints
	// MessageEndpointsRequest asks for a newer reading; its payload is that of a
	// listing.Message.
	MessageEndpointsRequest
	// MessageReadSource asks the leader of the configuration for the source
	// document in force, as a quorum confirms it.
	MessageReadSource
	// MessageReadSourceReply answers a MessageReadSource.
	MessageReadSourceReply
	// MessageReadRevision asks the leader of the configuration for its revision, as
	// a quorum confirms it.
	MessageReadRevision
	// MessageReadRevisionReply answers a MessageReadRevision.
	MessageReadRevisionReply
)

// ShardRevision is the newest revision of one shard that a node serves.
type ShardRevision struct {
	Shard    uint32
	Revision uint64
	// Drained is the newest revision for which the node has no request left
	// on any replica that the revision keeps requests from.
	Drained uint64
}

// Message is what control machines send each other. Fields that a type does
// not use are zero.
type Message struct {
	Type  MessageType
	Shard uint32
	// Request is the number of a request of the sender; replies carry it as well.
	Request     uint64
	Incarnation member.Incarnation
	// Payload is an encoded controlpb.Command, controlpb.Answer,
	// ridgeswitchv1.Source or listing.Message.
	Payload []byte
	// Revision is one of the shard's state. In a MessageRegister, and in a reply that
	// neither accepts nor names a later incarnation, it is the challenge instead; 0 if
	// there is none.
	Revision uint64
	// Leader is the leader of the shard as far as the sender knows; empty if it knows none.
	Leader member.ID
	// Accepted means that the sender leads the shard and has done what it was asked.
	Accepted  bool
	Revisions []ShardRevision
	// Term is one of the shard's group that the sender knows of.
	Term uint64
}
