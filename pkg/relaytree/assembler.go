package relaytree

import (
	"maps"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// assemblyTimeoutIntervals is the number of digest intervals without a chunk after
	// which chunks from another sender are accepted.
	assemblyTimeoutIntervals = 2
	// assemblyRetentionIntervals is the number of digest intervals for which received
	// chunks are kept after the latest one, so that a sender can continue the transfer.
	assemblyRetentionIntervals = 10
)

// assembler owns the received chunks of incomplete updates. There is at most one assembly
// for each topic, and none of its chunks is applied before all have been received.
type assembler struct {
	digestEvery time.Duration
	assemblies  map[Topic]*assembly
}

// assembly collects the chunks of one update.
type assembly struct {
	// sender is the member that sent the latest chunk, and lastHeard is when that chunk
	// was received.
	sender    member.ID
	lastHeard time.Duration
	// first is the first message that was received of the update. The messages of its
	// other chunks must have the same revisions, checksum and number of chunks.
	first Message
	// nextChunk is the position of the next chunk that is needed.
	nextChunk uint32
	change    changes
}

// includes reports whether a message is a chunk of the same update. All members split equal
// updates into equal chunks, so that another member can continue a transfer.
func (a *assembly) includes(msg Message) bool {
	return a.first.Revision == msg.Revision &&
		a.first.BaseRevision == msg.BaseRevision &&
		a.first.Checksum == msg.Checksum &&
		a.first.ChunkCount == msg.ChunkCount
}

// add records a chunk of an update in several chunks, and returns the position of the next
// chunk that is needed. If that is ChunkCount, the update is complete, and the method
// changes returns its changes. A chunk of another update replaces the assembly.
func (a *assembler) add(now time.Duration, from member.ID, msg Message) (nextChunk uint32) {
	pending := a.assemblies[msg.Topic]
	if pending == nil || !pending.includes(msg) {
		pending = &assembly{first: msg}
		a.assemblies[msg.Topic] = pending
	}
	pending.sender = from
	pending.lastHeard = now
	if msg.Chunk == pending.nextChunk {
		pending.change.sections = append(pending.change.sections, msg.Sections...)
		pending.change.removed = append(pending.change.removed, msg.Removed...)
		pending.nextChunk++
	}
	return pending.nextChunk
}

// changes returns the changes that were collected for a topic. There must be an assembly.
func (a *assembler) changes(topic Topic) changes {
	return a.assemblies[topic].change
}

// isReceivingFromOther reports whether a member other than from is sending an update of the
// topic in chunks. During such a transfer, onUpdate ignores chunks of from, and doesn't
// acknowledge deltas that can't be applied, so that no second transfer begins.
func (a *assembler) isReceivingFromOther(now time.Duration, from member.ID, topic Topic) bool {
	pending := a.assemblies[topic]
	return pending != nil && pending.sender != from && a.isReceiving(now, topic)
}

// isReceiving reports whether a chunk of an incomplete update of the topic was received
// within the last assemblyTimeoutIntervals.
func (a *assembler) isReceiving(now time.Duration, topic Topic) bool {
	pending := a.assemblies[topic]
	return pending != nil && now-pending.lastHeard < assemblyTimeoutIntervals*a.digestEvery
}

// dropUpTo drops the assembly of a topic unless its update has a newer revision than the
// given one.
func (a *assembler) dropUpTo(topic Topic, revision uint64) {
	if pending := a.assemblies[topic]; pending != nil && pending.first.Revision <= revision {
		a.drop(topic)
	}
}

func (a *assembler) drop(topic Topic) {
	delete(a.assemblies, topic)
}

// expire drops the assemblies that received no chunk for assemblyRetentionIntervals.
func (a *assembler) expire(now time.Duration) {
	maps.DeleteFunc(a.assemblies, func(_ Topic, pending *assembly) bool {
		return now-pending.lastHeard >= assemblyRetentionIntervals*a.digestEvery
	})
}
