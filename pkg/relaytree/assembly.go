package relaytree

import (
	"maps"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// assemblyTimeoutIntervals is how many digest intervals pass without a part before
	// another sender may begin.
	assemblyTimeoutIntervals = 2
	// assemblyRetentionIntervals is how many digest intervals a part is kept for whoever
	// goes on with it.
	assemblyRetentionIntervals = 10
)

// assembly gathers the parts of one update. There is one a topic at most, and
// nothing of it is held before it is whole.
type assembly struct {
	sender member.ID
	// first is the first part, which tells what the others belong to.
	first Message
	// nextChunk is the part that is waited for.
	nextChunk uint32
	change    changes
	lastHeard time.Duration
}

// includes tells whether a message is a part of the same update. Equal states
// are cut into equal parts, so that another member can go on with them.
func (a *assembly) includes(msg Message) bool {
	return a.first.Revision == msg.Revision &&
		a.first.BaseRevision == msg.BaseRevision &&
		a.first.Checksum == msg.Checksum &&
		a.first.ChunkCount == msg.ChunkCount
}

// assemble takes a part, and returns the update's changes once it has all. An
// update in one part needs no assembly.
func (m *Machine) assemble(from member.ID, msg Message) (all changes, complete bool) {
	chunk := changes{sections: msg.Sections, removed: msg.Removed}
	if msg.ChunkCount <= 1 {
		return chunk, true
	}
	if m.receivesFromOther(from, msg.Topic) {
		return changes{}, false
	}
	pending := m.assemblies[msg.Topic]
	if pending == nil || !pending.includes(msg) {
		pending = &assembly{sender: from, first: msg}
		m.assemblies[msg.Topic] = pending
	}
	pending.sender = from
	pending.lastHeard = m.now
	if msg.Chunk == pending.nextChunk {
		pending.change.sections = append(pending.change.sections, chunk.sections...)
		pending.change.removed = append(pending.change.removed, chunk.removed...)
		pending.nextChunk++
	}
	if pending.nextChunk < msg.ChunkCount {
		m.acknowledgeChunks(from, msg, pending.nextChunk)
		return changes{}, false
	}
	return pending.change, true
}

// receivesFromOther tells whether another member is sending a state in parts.
// Its parts are waited for, and what doesn't fit meanwhile is left unanswered,
// so that no second transfer begins.
func (m *Machine) receivesFromOther(from member.ID, topic Topic) bool {
	pending := m.assemblies[topic]
	return pending != nil && pending.sender != from && m.isFresh(pending)
}

func (m *Machine) isFresh(pending *assembly) bool {
	return m.now-pending.lastHeard < assemblyTimeoutIntervals*m.config.DigestEvery
}

// isAssembling tells whether parts of a newer state are coming in.
func (m *Machine) isAssembling(topic Topic) bool {
	pending := m.assemblies[topic]
	return pending != nil && m.isFresh(pending)
}

// expireAssemblies drops what nobody has gone on with.
func (m *Machine) expireAssemblies() {
	maps.DeleteFunc(m.assemblies, func(_ Topic, pending *assembly) bool {
		return m.now-pending.lastHeard >= assemblyRetentionIntervals*m.config.DigestEvery
	})
}

func (m *Machine) acknowledgeChunks(from member.ID, msg Message, nextChunk uint32) {
	m.send(from, Message{
		Type:                 MessageAcknowledge,
		Topic:                msg.Topic,
		Revision:             m.Revision(msg.Topic),
		AcknowledgedRevision: msg.Revision,
		Chunk:                nextChunk,
	})
}
