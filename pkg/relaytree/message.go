package relaytree

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// Topic names one stream of revisions, such as the state of one shard.
type Topic uint32

// Section is a named part of a state. Names are unique within a state.
type Section struct {
	Name string
	// Content is opaque and shared: nobody may change it.
	Content []byte
}

// MessageType tells what a Message carries.
type MessageType uint8

// The messages of the relay tree.
const (
	// MessageUpdate carries a newer state of a topic, or a part of it.
	MessageUpdate MessageType = iota + 1
	// MessageDigest lists the revisions that the sender holds; the receiver
	// answers with what is newer.
	MessageDigest
	// MessageAcknowledge answers an update with the revision of the topic that
	// the receiver holds now.
	MessageAcknowledge
)

// TopicRevision is the newest revision that a node holds of a topic.
type TopicRevision struct {
	Topic    Topic
	Revision uint64
	// Assembling tells that the node is receiving a newer revision in parts, so
	// that the receiver of the digest should send nothing.
	Assembling bool
}

// Message is what nodes send along the tree.
type Message struct {
	Type  MessageType
	Topic Topic
	// Revision is, in an update, the one that it leads to; in an
	// acknowledgement, the one that the sender holds.
	Revision uint64
	// BaseRevision is the revision that a delta builds on; 0 marks a whole
	// state. A delta fits any state from its base on that is older than its
	// Revision.
	BaseRevision uint64
	// Checksum is that of the whole state at Revision.
	Checksum uint64
	// Chunk is, in an update, the position of this part from 0 on; in an
	// acknowledgement, how many parts have come so far, or 0 once the update
	// was taken or refused.
	Chunk uint32
	// ChunkCount is how many parts the update has.
	ChunkCount uint32
	// Sections are the new and changed sections.
	Sections []Section
	// Removed names sections that a delta removes.
	Removed []string
	// AcknowledgedRevision is the Revision of the update that an acknowledgement answers.
	AcknowledgedRevision uint64
	// Mismatch tells that the delta would have led to another state than the
	// sender's, and asks for a whole one.
	Mismatch bool
	// Revisions are the revisions of a digest.
	Revisions []TopicRevision
}

// Outbound is a message and the member it is for.
type Outbound struct {
	To      member.ID
	Message Message
}

// Update is a revision of a topic that the node holds since this step. It
// tells what has changed since the update of the topic before, so that all
// updates together give the state; the first lists every section.
type Update struct {
	Topic    Topic
	Revision uint64
	// Sections are new or changed, sorted by name.
	Sections []Section
	// Removed names the sections that are gone.
	Removed []string
}
