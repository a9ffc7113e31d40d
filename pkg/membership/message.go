package membership

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// MessageType tells what a Message asks or answers.
type MessageType uint8

// The messages of the membership protocol.
const (
	// MessageJoin asks a seed, by address, for the table of members.
	MessageJoin MessageType = iota + 1
	// MessageJoinReply answers with the whole table.
	MessageJoinReply
	// MessageHeartbeat goes from a node to each of its monitors.
	MessageHeartbeat
	// MessageHeartbeatReply acknowledges one heartbeat.
	MessageHeartbeatReply
	// MessageGossip spreads records that changed.
	MessageGossip
)

// State is what the table says of a member.
type State uint8

// The states of a member, from the table's point of view.
const (
	// StateAlive members answer their monitors.
	StateAlive State = iota + 1
	// StateSuspect members are silent to some monitor; they may still serve.
	StateSuspect
	// StateFenced members are certain to refuse traffic until they have
	// learnt the current revision again.
	StateFenced
	// StateLeft members announced that they stopped.
	StateLeft
)

// TimeoutReport is the report of one monitor that it has not acknowledged any
// heartbeat of a member for long enough that the member must have stopped
// counting on it.
type TimeoutReport struct {
	Monitor member.ID
	// MonitorBoot tells which process of the monitor reports.
	MonitorBoot member.Incarnation
	// Incarnation and MonitorSetVersion are those of the member's last
	// heartbeat that the monitor saw.
	Incarnation       member.Incarnation
	MonitorSetVersion uint64
}

// Record is the table's row for one member.
type Record struct {
	Info  member.Info
	State State
	// MonitorSetVersion numbers the member's own choices of monitors.
	MonitorSetVersion uint64
	// Monitors are the monitors that the member chose.
	Monitors []member.ID
	// MonitorBoots are the processes of Monitors, in the same order, that the
	// member counts on: a monitor that starts again has lost its promises.
	MonitorBoots   []member.Incarnation
	TimeoutReports []TimeoutReport
	// Version orders records of one incarnation.
	Version uint64
}

// Message is what nodes send each other to keep the table. Fields that a type
// does not use are zero.
type Message struct {
	Type MessageType
	// Sequence numbers a node's heartbeats; replies echo it.
	Sequence uint64
	// Incarnation is the sender's; a heartbeat reply echoes the heartbeat's.
	Incarnation member.Incarnation
	// Boot is the incarnation with which the sender's process started.
	Boot member.Incarnation
	// From describes the sender, so that a receiver can answer a stranger. It holds the
	// ID alone where the receiver knows the sender, see omitsSenderInfo.
	From              member.Info
	MonitorSetVersion uint64
	// TimedOutVersion is, in a heartbeat reply, the newest monitor set version
	// of the heartbeat's incarnation that the sender reported silent; 0 if none.
	TimedOutVersion uint64
	// Digest summarises the sender's table.
	Digest  uint64
	Records []Record

	// Buckets are the digests of the sender's table by range of members, which ask the
	// receiver for a summary of those that differ.
	Buckets []uint32
	// CoveredBuckets has a bit for each range that Summary, which may be empty, covers.
	CoveredBuckets uint64
	Summary        []RecordDigest
	// Requested are the members of whom the sender asks for records.
	Requested []uint32

	// Deferred tells, in a reply to a join, that the table will follow.
	Deferred bool
	// Stable tells, with a whole table, that no member has been new to it lately.
	Stable bool
}

// RecordDigest stands for one record in a summary of a table.
type RecordDigest struct {
	// Member is a hash of the member's ID, and Digest one of its record.
	Member uint32
	Digest uint32
}

// omitsSenderInfo tells whether the receiver knows the sender already, or finds it among the
// records, so that From needs no more than the ID.
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

// Outbound is a message and where it goes: to a node that listens on Address.
// To is empty when the receiver's ID is not known yet, as with seeds.
type Outbound struct {
	To      member.ID
	Address string
	Message Message
}
