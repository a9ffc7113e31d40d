package membership

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// MessageType is the purpose of a Message.
type MessageType uint8

// The messages of the membership protocol.
const (
	// MessageJoin requests the table of members from the node that listens on a seed's
	// address.
	MessageJoin MessageType = iota + 1
	// MessageJoinReply contains the complete table, or announces that it follows later
	// (Deferred).
	MessageJoinReply
	// MessageHeartbeat goes from a node to each of its monitors.
	MessageHeartbeat
	// MessageHeartbeatReply acknowledges one heartbeat.
	MessageHeartbeatReply
	// MessageGossip contains records that changed, only a digest (a probe), or one step
	// of an exchange of records; see antiEntropy.
	MessageGossip
)

// Message is a message by which nodes maintain the table and monitor each other. Fields that
// a message's type doesn't use are zero.
type Message struct {
	Type MessageType
	// Sequence numbers a node's heartbeats; replies echo it.
	Sequence uint64
	// Incarnation is the sender's incarnation; a heartbeat reply echoes that of the
	// heartbeat.
	Incarnation member.Incarnation
	// Boot is the incarnation with which the sender's process started.
	Boot member.Incarnation
	// From describes the sender, so that a receiver that doesn't know the sender can
	// reply. It contains only the ID where the receiver knows the sender; see
	// omitsSenderInfo.
	From member.Info
	// MonitorSetVersion, in a heartbeat reply, is the receiver's monitor set version
	// according to the replying node's table. In a heartbeat, it is a monitor set version
	// of the sender, which no node reads.
	MonitorSetVersion uint64
	// TimedOutVersion, in a heartbeat reply, is the newest monitor set version of the
	// heartbeat's incarnation that the replying node reported as timed out; 0 if none.
	TimedOutVersion uint64
	// Digest is the digest of the sender's table.
	Digest uint64
	// Records are to be merged into the receiver's table.
	Records []Record

	// Buckets are the digests of the sender's table by key range. They request a summary
	// of the ranges that differ.
	Buckets []uint32
	// CoveredBuckets has a bit for each key range that Summary covers.
	CoveredBuckets uint64
	// Summary contains the digest of each of the sender's records in the ranges of
	// CoveredBuckets. It is empty if the sender has no records there.
	Summary []RecordDigest
	// Requested are the keys of the members whose records the sender requests, sorted.
	Requested []uint32

	// Deferred, in a reply to a join, means that the table follows later.
	Deferred bool
	// Stable, in a reply to a join that contains the table, means that no member has
	// been added to the table recently.
	Stable bool
}

// RecordDigest represents one record in a summary of a table.
type RecordDigest struct {
	// Member is a hash of the member's ID, and Digest is a hash of its record.
	Member uint32
	Digest uint32
}

// omitsSenderInfo reports whether From contains only the ID: the receiver knows the sender,
// finds the sender's record in the message, or doesn't reply.
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
// empty if the receiver's ID isn't known, as for seeds.
type Outbound struct {
	To      member.ID
	Address string
	Message Message
}
