package relaytree

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// onUpdate takes an update that leads from the revision held to a newer one.
// One that doesn't fit is answered with the revision held, upon which the sender
// sends what fits.
func (m *Machine) onUpdate(from member.ID, msg Message) []Update {
	revision := m.Revision(msg.Topic)
	if msg.Revision <= revision {
		m.acknowledge(from, msg)
		return nil
	}
	if msg.BaseRevision > revision {
		if !m.receivesFromOther(from, msg.Topic) {
			m.acknowledge(from, msg)
		}
		return nil
	}
	change, complete := m.assemble(from, msg)
	if !complete {
		return nil
	}
	if msg.BaseRevision == 0 {
		change = m.stateOf(msg.Topic).differenceTo(change.sections)
	}
	if m.stateOf(msg.Topic).checksumAfter(change) != msg.Checksum {
		m.rejectUpdate(from, msg)
		return nil
	}
	updates := m.apply(msg.Topic, msg.Revision, change)
	m.knownRevisions[feedKey{to: from, topic: msg.Topic}] = msg.Revision
	m.acknowledge(from, msg)
	m.feedChildren(msg.Topic, from)
	return updates
}

// rejectUpdate asks for a whole state in place of a delta that leads elsewhere. A
// whole state that is damaged is left unanswered: the next digest asks again.
func (m *Machine) rejectUpdate(from member.ID, msg Message) {
	delete(m.assemblies, msg.Topic)
	if msg.BaseRevision == 0 {
		return
	}
	m.send(from, Message{
		Type:                 MessageAcknowledge,
		Topic:                msg.Topic,
		Revision:             m.Revision(msg.Topic),
		AcknowledgedRevision: msg.Revision,
		Mismatch:             true,
	})
}

func (m *Machine) acknowledge(from member.ID, msg Message) {
	m.send(from, Message{
		Type:                 MessageAcknowledge,
		Topic:                msg.Topic,
		Revision:             m.Revision(msg.Topic),
		AcknowledgedRevision: msg.Revision,
	})
}

// onAcknowledge sends the next part, or whatever is newer than what the
// receiver holds now.
func (m *Machine) onAcknowledge(from member.ID, msg Message) {
	key := feedKey{to: from, topic: msg.Topic}
	transfer := m.inFlight[key]
	matchesTransfer := transfer != nil && transfer.update.revision == msg.AcknowledgedRevision
	if matchesTransfer && msg.Chunk > 0 {
		m.advance(key, int(msg.Chunk))
		return
	}
	m.knownRevisions[key] = msg.Revision
	if msg.Mismatch {
		m.knownRevisions[key] = 0
		// A snapshot may be no newer than what the receiver holds.
		m.stateOf(msg.Topic).snapshot = nil
	}
	if transfer != nil && !matchesTransfer {
		return
	}
	delete(m.inFlight, key)
	if msg.Revision < m.Revision(msg.Topic) {
		m.feed(from, msg.Topic)
	}
}

// advance goes on with the part that the receiver waits for. An acknowledgement
// that came twice, or late, moves nothing.
func (m *Machine) advance(key feedKey, nextChunk int) {
	transfer := m.inFlight[key]
	if nextChunk <= transfer.chunk || nextChunk >= len(transfer.update.chunks) {
		return
	}
	transfer.chunk = nextChunk
	transfer.resends = 0
	m.sendChunk(key)
}
