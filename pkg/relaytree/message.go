package relaytree

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// Topic names one stream of revisions, such as the state of one shard.
type Topic uint32

// Section is a named piece of a state. Names are unique within a state.
type Section struct {
	Name string
	// Content is opaque and shared: nobody may modify it.
	Content []byte
}

// MessageType tells the purpose of a Message.
type MessageType uint8

// The messages of the relay tree.
const (
	// MessageUpdate contains a newer state of a topic, a delta to it, or a chunk of
	// either.
	MessageUpdate MessageType = iota + 1
	// MessageDigest lists the revisions that the sender has; the receiver replies with
	// what is newer.
	MessageDigest
	// MessageAcknowledge replies to an update with the revision of the topic that the
	// receiver has now.
	MessageAcknowledge
)

// TopicRevision is the newest revision that a node has of a topic.
type TopicRevision struct {
	Topic    Topic
	Revision uint64
	// Assembling tells that the node is receiving a newer revision in chunks, so that
	// the receiver of the digest should send none.
	Assembling bool
}

// Message is what nodes send along the tree.
type Message struct {
	Type  MessageType
	Topic Topic
	// Revision is, in an update, the one that it leads to; in an acknowledgement, the
	// one that the sender has.
	Revision uint64
	// BaseRevision is the revision that a delta is based on; 0 marks a complete state. A
	// delta fits any state from its base on that is older than its Revision.
	BaseRevision uint64
	// Checksum is the checksum of the complete state at Revision.
	Checksum uint64
	// Chunk is, in an update, the position of this chunk from 0 on; in an
	// acknowledgement, how many chunks were received so far, or 0 once the update was
	// applied or rejected.
	Chunk uint32
	// ChunkCount is the number of chunks of the update.
	ChunkCount uint32
	// Sections are the new and changed sections.
	Sections []Section
	// Removed names sections that a delta removes.
	Removed []string
	// AcknowledgedRevision is, in an acknowledgement, the Revision of the update.
	AcknowledgedRevision uint64
	// Mismatch tells, in an acknowledgement, that the delta would have led to another
	// state than that of its sender, and requests a complete one.
	Mismatch bool
	// Revisions are the contents of a digest, sorted by topic.
	Revisions []TopicRevision
}

// Outbound is a message and its receiver.
type Outbound struct {
	To      member.ID
	Message Message
}

// Update is a revision of a topic that the node has from this step on. It tells what has
// changed since the previous update of the topic, so that all updates together give the
// state; the first one lists every section.
type Update struct {
	Topic    Topic
	Revision uint64
	// Sections are new or changed, sorted by name.
	Sections []Section
	// Removed names the sections that were removed, sorted.
	Removed []string
}
