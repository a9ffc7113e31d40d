package replication

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// MessageType tells what a Message asks or answers.
type MessageType uint8

// The messages of the replication protocol.
const (
	// MessageVoteRequest asks a voter to promise a term to the sender.
	MessageVoteRequest MessageType = iota + 1
	// MessageVoteReply grants or rejects a promise.
	MessageVoteReply
	// MessageAppend carries entries from the leader to a follower.
	MessageAppend
	// MessageAppendReply tells how far the follower's durable log matches.
	MessageAppendReply
	// MessageHeartbeat keeps leadership alive and confirms reads.
	MessageHeartbeat
	// MessageHeartbeatReply echoes the heartbeat's Round.
	MessageHeartbeatReply
	// MessageSnapshot replaces the state of a follower that is too far behind.
	MessageSnapshot
	// MessageRecoveryRequest asks every place to promise a ballot, under which a
	// group that lost the majority is formed anew.
	MessageRecoveryRequest
	// MessageRecoveryReply grants or rejects a ballot.
	MessageRecoveryReply
)

// EntryKind tells how an entry is applied.
type EntryKind uint8

// The kinds of log entries.
const (
	// EntryCommand carries a command of the state machine above.
	EntryCommand EntryKind = iota + 1
	// EntryBarrier is the empty entry with which a new leader commits what
	// earlier terms left.
	EntryBarrier
	// EntryGroupChange carries the group after a change of one voter.
	EntryGroupChange
	// EntryRestore carries the whole state of the state machine above, in place
	// of the state that the entries before it led to.
	EntryRestore
)

// Entry is one slot of the replicated log.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Command []byte
}

// Snapshot is the state after all entries up to and including Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	// Slots holds the places in the agreed order.
	Slots []Slot
	Data  []byte
}

// Message is what members of a group send each other. One struct serves every
// MessageType; fields that a type does not use are zero.
type Message struct {
	Type MessageType
	Term uint64
	// Incarnation is the incarnation of the sender's durable state. What the
	// sender promises or acknowledges counts for that incarnation only.
	Incarnation uint64
	// Index is the entry before Entries, the sender's last entry, or the last
	// matching entry, by type.
	Index uint64
	// IndexTerm is the term of the entry at Index.
	IndexTerm uint64
	Commit    uint64
	// HeartbeatNumber numbers a leader's heartbeats; replies echo it.
	HeartbeatNumber uint64
	// PreVote asks for a promise without raising terms, so that a member which
	// cannot win does not disturb the leader.
	PreVote bool
	// Transfer marks a campaign that the present leader asked for.
	Transfer bool
	// Learner tells that the sender of a reply wants no vote.
	Learner    bool
	Reject     bool
	RejectHint uint64
	Entries    []Entry
	Snapshot   *Snapshot
}

// Outbound is a message and the member it is for.
type Outbound struct {
	To      member.ID
	Message Message
}
