package relaytree

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// onUpdate applies an update that leads from this node's revision to a newer one. One that
// doesn't fit is acknowledged with this node's revision, so that the sender sends what
// fits.
func (m *Machine) onUpdate(from member.ID, msg Message) []Update {
	revision := m.Revision(msg.Topic)
	if msg.Revision <= revision {
		m.acknowledge(from, msg)
		return nil
	}
	busy := m.assembler.isBusyWithOther(m.now, from, msg.Topic)
	if msg.BaseRevision > revision {
		if !busy {
			m.acknowledge(from, msg)
		}
		return nil
	}
	change := changes{sections: msg.Sections, removed: msg.Removed}
	if msg.ChunkCount > 1 {
		if busy {
			return nil
		}
		if next := m.assembler.add(m.now, from, msg); next < msg.ChunkCount {
			m.acknowledgeChunks(from, msg, next)
			return nil
		}
		change = m.assembler.changes(msg.Topic)
	}
	state := m.store.get(msg.Topic)
	if msg.BaseRevision == 0 {
		change = state.differenceTo(change.sections)
	}
	if state.checksumAfter(change) != msg.Checksum {
		m.rejectUpdate(from, msg)
		return nil
	}
	updates := m.apply(msg.Topic, msg.Revision, change)
	m.sender.knownRevisions[feedKey{to: from, topic: msg.Topic}] = msg.Revision
	m.acknowledge(from, msg)
	m.feedChildren(msg.Topic, from)
	return updates
}

// acknowledge replies to an update with this node's revision.
func (m *Machine) acknowledge(from member.ID, msg Message) {
	m.outbox.send(from, Message{
		Type:                 MessageAcknowledge,
		Topic:                msg.Topic,
		Revision:             m.Revision(msg.Topic),
		AcknowledgedRevision: msg.Revision,
	})
}

// acknowledgeChunks replies to a chunk with the position of the next one.
func (m *Machine) acknowledgeChunks(from member.ID, msg Message, nextChunk uint32) {
	m.outbox.send(from, Message{
		Type:                 MessageAcknowledge,
		Topic:                msg.Topic,
		Revision:             m.Revision(msg.Topic),
		AcknowledgedRevision: msg.Revision,
		Chunk:                nextChunk,
	})
}

// rejectUpdate requests a whole state in place of a delta that leads to another state. A
// whole state that is damaged gets no reply: the next digest requests it again.
func (m *Machine) rejectUpdate(from member.ID, msg Message) {
	m.assembler.drop(msg.Topic)
	if msg.BaseRevision == 0 {
		return
	}
	m.outbox.send(from, Message{
		Type:                 MessageAcknowledge,
		Topic:                msg.Topic,
		Revision:             m.Revision(msg.Topic),
		AcknowledgedRevision: msg.Revision,
		Mismatch:             true,
	})
}
