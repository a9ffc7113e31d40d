package relaytree

import (
	"maps"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// assemblyTimeoutIntervals is how many digest intervals pass without a chunk
	// before another sender may begin.
	assemblyTimeoutIntervals = 2
	// assemblyRetentionIntervals is how many digest intervals the chunks are kept for
	// a sender that continues.
	assemblyRetentionIntervals = 10
)

// assembler owns the chunks received of updates that aren't complete. There is at most
// one assembly for each topic, and nothing of it is applied before it is complete.
type assembler struct {
	digestEvery time.Duration
	assemblies  map[Topic]*assembly
}

// assembly collects the chunks of one update.
type assembly struct {
	// sender is the member that sent the latest chunk, at lastHeard.
	sender    member.ID
	lastHeard time.Duration
	// first is the first message, with which those of the other chunks must agree.
	first Message
	// nextChunk is the position of the next chunk that is needed.
	nextChunk uint32
	change    changes
}

// includes tells whether a message is a chunk of the same update. Equal states are split
// into equal chunks, so that another member can continue.
func (a *assembly) includes(msg Message) bool {
	return a.first.Revision == msg.Revision &&
		a.first.BaseRevision == msg.BaseRevision &&
		a.first.Checksum == msg.Checksum &&
		a.first.ChunkCount == msg.ChunkCount
}

// add takes in a chunk of a large update, and returns the position of the next one that
// is needed. It is ChunkCount if the update is complete; changes returns it then.
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

// changes returns what was collected for a topic. There must be an assembly.
func (a *assembler) changes(topic Topic) changes {
	return a.assemblies[topic].change
}

// isReceivingFromOther tells whether another member is sending an update of the topic. Its
// chunks have precedence, and what doesn't fit meanwhile isn't acknowledged, so that no
// second transfer begins.
func (a *assembler) isReceivingFromOther(now time.Duration, from member.ID, topic Topic) bool {
	pending := a.assemblies[topic]
	return pending != nil && pending.sender != from && a.isReceiving(now, topic)
}

// isReceiving tells whether chunks of an update of the topic are coming in.
func (a *assembler) isReceiving(now time.Duration, topic Topic) bool {
	pending := a.assemblies[topic]
	return pending != nil && now-pending.lastHeard < assemblyTimeoutIntervals*a.digestEvery
}

// dropUpTo drops the assembly of a topic if it leads to no newer revision.
func (a *assembler) dropUpTo(topic Topic, revision uint64) {
	if pending := a.assemblies[topic]; pending != nil && pending.first.Revision <= revision {
		a.drop(topic)
	}
}

func (a *assembler) drop(topic Topic) {
	delete(a.assemblies, topic)
}

// expire drops the assemblies that no sender has continued.
func (a *assembler) expire(now time.Duration) {
	maps.DeleteFunc(a.assemblies, func(_ Topic, pending *assembly) bool {
		return now-pending.lastHeard >= assemblyRetentionIntervals*a.digestEvery
	})
}
