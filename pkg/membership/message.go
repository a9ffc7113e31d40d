package membership

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// MessageType tells the purpose of a Message.
type MessageType uint8

// The messages of the membership protocol.
const (
	// MessageJoin asks a seed, by address, for the table of members.
	MessageJoin MessageType = iota + 1
	// MessageJoinReply contains the complete table, or announces it (Deferred).
	MessageJoinReply
	// MessageHeartbeat goes from a node to each of its monitors.
	MessageHeartbeat
	// MessageHeartbeatReply acknowledges one heartbeat.
	MessageHeartbeatReply
	// MessageGossip contains records that changed, a digest alone (a probe), or one
	// step of an exchange; see antiEntropy.
	MessageGossip
)

// Message is what nodes send each other to maintain the table. Fields that a type
// doesn't use are zero.
type Message struct {
	Type MessageType
	// Sequence numbers a node's heartbeats; replies echo it.
	Sequence uint64
	// Incarnation is the sender's; a heartbeat reply echoes the heartbeat's.
	Incarnation member.Incarnation
	// Boot is the incarnation with which the sender's process started.
	Boot member.Incarnation
	// From describes the sender, so that a receiver that doesn't know it can reply. It
	// contains the ID alone where the receiver knows the sender; see omitsSenderInfo.
	From member.Info
	// MonitorSetVersion is, in a heartbeat reply, the version of the receiver's monitor set
	// in the replier's record. Heartbeats state their sender's, which no node reads.
	MonitorSetVersion uint64
	// TimedOutVersion is, in a heartbeat reply, the newest monitor set version of the
	// heartbeat's incarnation that the sender reported; 0 if none.
	TimedOutVersion uint64
	// Digest summarises the sender's table.
	Digest uint64
	// Records are to be merged into the receiver's table.
	Records []Record

	// Buckets are the digests of the sender's table by key range. They ask the receiver
	// for a summary of the ranges that differ.
	Buckets []uint32
	// CoveredBuckets has a bit for each key range that Summary covers.
	CoveredBuckets uint64
	// Summary has the digest of each record in these ranges. It is empty if the sender
	// has none there.
	Summary []RecordDigest
	// Requested are the keys of the members whose records the sender requests, sorted.
	Requested []uint32

	// Deferred tells, in a reply to a join, that the table follows later.
	Deferred bool
	// Stable tells, in a reply to a join with a table, that no member has been added to
	// it lately.
	Stable bool
}

// RecordDigest represents one record in a summary of a table.
type RecordDigest struct {
	// Member is a hash of the member's ID, and Digest one of its record.
	Member uint32
	Digest uint32
}

// omitsSenderInfo tells whether the receiver knows the sender already, or finds it among
// the records, so that From needs no more than the ID.
func (m Message) omitsSenderInfo() bool {
	switch m.Type {
	case MessageHeartbeat, MessageHeartbeatReply:
		return true
	case MessageJoin:
		return false
	case MessageJoinReply:
		return !m.Deferred
	default:
		return len(m.Records) > 0 && len(m.Requested) == 0
	}
}

// Outbound is a message and its destination: the node that listens on Address. To is
// empty if the receiver's ID isn't known yet, as with seeds.
type Outbound struct {
	To      member.ID
	Address string
	Message Message
}
