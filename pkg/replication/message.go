package replication

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// MessageType identifies the kind of a Message. The numbers are used on the wire.
type MessageType uint8

// The messages of the replication protocol.
const (
	// MessageVoteRequest asks a voter to grant a term to the sender.
	MessageVoteRequest MessageType = iota + 1
	// MessageVoteReply grants or rejects a vote.
	MessageVoteReply
	// MessageAppend carries entries from the leader to a follower.
	MessageAppend
	// MessageAppendReply reports up to which index the follower's durable log matches.
	MessageAppendReply
	// MessageHeartbeat maintains the leadership and confirms reads.
	MessageHeartbeat
	// MessageHeartbeatReply echoes the heartbeat's number.
	MessageHeartbeatReply
	// MessageSnapshot replaces the state of a follower that is too far behind.
	MessageSnapshot
	// MessageRecoveryRequest asks the members of all slots to grant a recovery term, under
	// which a group that lost its quorum is recovered.
	MessageRecoveryRequest
	// MessageRecoveryReply grants or rejects a recovery term.
	MessageRecoveryReply
)

// Message is a message between members of a group. One struct serves every MessageType;
// fields that a type does not use are zero.
type Message struct {
	Type MessageType
	// Term is the term of the sender, or the term that it requests or grants.
	Term uint64
	// Incarnation is the incarnation of the sender's durable state. The sender's votes and
	// acknowledgements count for that incarnation only.
	Incarnation uint64
	// Index is the index of a log entry, which depends on Type: in a vote request, a recovery
	// request, a voter's recovery reply and a heartbeat, the sender's last entry; in an
	// append, the entry before Entries; in an append reply, the last matching entry, or the
	// missing entry if Reject is set; in a snapshot message, Snapshot.Index.
	Index uint64
	// IndexTerm is the term of the entry at Index, or at RejectHint in a reply that
	// rejects an append.
	IndexTerm uint64
	// Commit is the sender's commit index.
	Commit uint64
	// HeartbeatNumber is the number of a leader's heartbeat; the reply repeats it.
	HeartbeatNumber uint64
	// PreVote marks a request that does not raise the term, so that a member that can't win
	// an election does not disturb the leader.
	PreVote bool
	// Transfer marks a heartbeat with which the leader asks its successor to campaign, and
	// the vote requests of that campaign.
	Transfer bool
	// Learner marks a reply of a permanent learner, which never votes (Config.Learner).
	Learner bool
	// Reject marks a reply that grants or acknowledges nothing.
	Reject bool
	// RejectHint is the index up to which the logs may agree, in a reply that
	// rejects an append.
	RejectHint uint64
	Entries    []Entry
	Snapshot   *Snapshot
}

// Outbound is a message and its recipient.
type Outbound struct {
	To      member.ID
	Message Message
}
