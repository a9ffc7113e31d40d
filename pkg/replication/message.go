package replication

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// MessageType tells what a Message requests or replies. The numbers are those of
// the wire.
type MessageType uint8

// The messages of the replication protocol.
const (
	// MessageVoteRequest asks a voter to grant a term to the sender.
	MessageVoteRequest MessageType = iota + 1
	// MessageVoteReply grants or rejects a vote.
	MessageVoteReply
	// MessageAppend carries entries from the leader to a follower.
	MessageAppend
	// MessageAppendReply tells how far the follower's durable log matches.
	MessageAppendReply
	// MessageHeartbeat keeps the leadership alive and confirms reads.
	MessageHeartbeat
	// MessageHeartbeatReply echoes the heartbeat's number.
	MessageHeartbeatReply
	// MessageSnapshot replaces the state of a follower that is too far behind.
	MessageSnapshot
	// MessageRecoveryRequest asks the members of all slots to grant a recovery term,
	// under which a group that lost its quorum is recovered.
	MessageRecoveryRequest
	// MessageRecoveryReply grants or rejects a recovery term.
	MessageRecoveryReply
)

// Message is what members of a group send each other. One struct serves every
// MessageType; fields that a type does not use are zero.
type Message struct {
	Type MessageType
	Term uint64
	// Incarnation is the incarnation of the sender's durable state. What the sender
	// grants or acknowledges counts for that incarnation only.
	Incarnation uint64
	// Index is the entry before Entries, the sender's last entry, or the last
	// matching entry, by type.
	Index uint64
	// IndexTerm is the term of the entry at Index.
	IndexTerm uint64
	Commit    uint64
	// HeartbeatNumber numbers a leader's heartbeats; replies echo it.
	HeartbeatNumber uint64
	// PreVote requests a grant without raising terms, so that a member that can't
	// win does not disturb the leader.
	PreVote bool
	// Transfer marks a heartbeat with which the leader asks its successor to
	// campaign, and the vote requests of that campaign.
	Transfer bool
	// Learner tells that the sender of a reply refuses a vote.
	Learner bool
	Reject  bool
	// RejectHint is the index up to which the logs may agree, in a reply that
	// rejects an append.
	RejectHint uint64
	Entries    []Entry
	Snapshot   *Snapshot
}

// Outbound is a message and the member that it is for.
type Outbound struct {
	To      member.ID
	Message Message
}
