package relaytree

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// Topic identifies one stream of revisions, such as the state of one shard.
type Topic uint32

// Section is a named piece of a state. Names are unique within a state.
type Section struct {
	Name string
	// Content is opaque and shared: it must not be modified.
	Content []byte
}

// MessageType is the type of a Message.
type MessageType uint8

// The messages of the relay tree.
const (
	// MessageUpdate contains the complete state of a topic at a newer revision, a delta
	// to it, or a chunk of either.
	MessageUpdate MessageType = iota + 1
	// MessageDigest lists the revisions that the sender has. The receiver sends updates
	// of the topics of which it has a newer revision, and its own digest if the sender
	// has a newer revision of any topic.
	MessageDigest
	// MessageAcknowledge replies to an update with the revision of the topic that the
	// receiver of the update has now.
	MessageAcknowledge
)

// TopicRevision is the newest revision that a node has of a topic.
type TopicRevision struct {
	Topic    Topic
	Revision uint64
	// Assembling is true if the node is receiving a newer revision in chunks. The receiver
	// of the digest then sends no update of the topic.
	Assembling bool
}

// Message is a message from one node to another. Its Type determines which of the other
// fields are used.
type Message struct {
	Type  MessageType
	Topic Topic
	// Revision is, in an update, the revision that the receiver has after the update; in
	// an acknowledgement, the revision that the sender of the acknowledgement has.
	Revision uint64
	// BaseRevision is the revision that a delta is based on; 0 marks a complete state. A
	// delta can be applied to a state at BaseRevision or later that is older than Revision.
	BaseRevision uint64
	// Checksum is the checksum of the complete state at Revision.
	Checksum uint64
	// Chunk is, in an update, the position of this chunk, counted from 0; in an
	// acknowledgement, the number of chunks received so far, which is 0 if the first one
	// is needed, or if the update was applied or rejected.
	Chunk uint32
	// ChunkCount is the number of chunks of the update.
	ChunkCount uint32
	// Sections are the new and changed sections.
	Sections []Section
	// Removed contains the names of the sections that a delta removes.
	Removed []string
	// AcknowledgedRevision is, in an acknowledgement, the Revision of the acknowledged
	// update.
	AcknowledgedRevision uint64
	// Mismatch is true in an acknowledgement if the result of the delta would not have
	// matched its checksum. It requests the complete state.
	Mismatch bool
	// Revisions is the content of a digest, sorted by topic.
	Revisions []TopicRevision
}

// Outbound is a message and its receiver.
type Outbound struct {
	To      member.ID
	Message Message
}

// Update reports that the node has moved to a newer revision of a topic. It lists the
// changes since the previous Update of the topic, so that applying all Updates in order
// yields the state; the first Update lists every section.
type Update struct {
	Topic    Topic
	Revision uint64
	// Sections are the new and changed sections, sorted by name. After a delta, some of
	// them may be equal to those that the node already had.
	Sections []Section
	// Removed contains the names of the removed sections, sorted. After a delta, some of
	// them may be names that the node did not have.
	Removed []string
}
