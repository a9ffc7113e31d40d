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
	// Term is that of the sender, or the one that it requests or grants.
	Term uint64
	// Incarnation is the incarnation of the sender's durable state. What the sender
	// grants or acknowledges counts for that incarnation only.
	Incarnation uint64
	// Index is that of an entry, by type: the sender's last one in a request of votes or
	// of a recovery, in the reply of a voter to the latter, and in a heartbeat; the one
	// before Entries in an append; the last matching one in a reply to it, or the one
	// that is missing if it rejects; Snapshot.Index beside a snapshot.
	Index uint64
	// IndexTerm is the term of the entry at Index, or at RejectHint in a reply that
	// rejects an append.
	IndexTerm uint64
	// Commit is the sender's commit index.
	Commit uint64
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
	// Reject tells that a reply grants or acknowledges nothing.
	Reject bool
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
