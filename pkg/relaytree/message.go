package relaytree

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// Topic names one stream of revisions, such as the state of one shard.
type Topic uint32

// MessageType tells what a Message carries.
type MessageType uint8

// The messages of the relay tree.
const (
	// MessageUpdate carries a newer state of a topic.
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
}

// Message is what nodes send along the tree.
type Message struct {
	Type     MessageType
	Topic    Topic
	Revision uint64
	// BaseRevision is the revision that a delta builds on; 0 marks a whole
	// state.
	BaseRevision uint64
	Payload      []byte
	Known        []TopicRevision
}

// Outbound is a message and the member it is for.
type Outbound struct {
	To      member.ID
	Message Message
}
