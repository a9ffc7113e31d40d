package relaytree

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// onUpdate applies an update to a newer revision, and sends it to the children. A delta
// whose base is newer than this node's revision is acknowledged with this node's revision,
// so that the sender sends an update that can be applied. A chunk is acknowledged with the
// position of the next chunk that is needed.
//
// An update after which the state would not match the checksum is never applied. If it is a
// delta, the acknowledgement requests the complete state (Message.Mismatch). If it is a
// complete state, there is no reply: it is sent again after the next digest.
func (m *Machine) onUpdate(from member.ID, msg Message) []Update {
	revision := m.Revision(msg.Topic)
	if msg.Revision <= revision {
		m.outbox.send(from, m.acknowledgement(msg))
		return nil
	}
	receivingFromOther := m.assembler.isReceivingFromOther(m.now, from, msg.Topic)
	if msg.BaseRevision > revision {
		if !receivingFromOther {
			m.outbox.send(from, m.acknowledgement(msg))
		}
		return nil
	}
	change := changes{sections: msg.Sections, removed: msg.Removed}
	if msg.ChunkCount > 1 {
		if receivingFromOther {
			return nil
		}
		if next := m.assembler.add(m.now, from, msg); next < msg.ChunkCount {
			reply := m.acknowledgement(msg)
			reply.Chunk = next
			m.outbox.send(from, reply)
			return nil
		}
		change = m.assembler.changes(msg.Topic)
	}
	state := m.store.getOrCreate(msg.Topic)
	if msg.BaseRevision == 0 {
		change = state.differenceTo(change.sections)
	}
	if state.checksumAfter(change) != msg.Checksum {
		m.assembler.drop(msg.Topic)
		if msg.BaseRevision > 0 {
			reply := m.acknowledgement(msg)
			reply.Mismatch = true
			m.outbox.send(from, reply)
		}
		return nil
	}
	updates := m.apply(msg.Topic, msg.Revision, change)
	m.sender.recordRevision(from, msg.Topic, msg.Revision)
	m.outbox.send(from, m.acknowledgement(msg))
	m.sendNewestToChildren(msg.Topic, from)
	return updates
}

// acknowledgement returns the reply to an update, with the revision that this node has now.
func (m *Machine) acknowledgement(msg Message) Message {
	return Message{
		Type:                 MessageAcknowledge,
		Topic:                msg.Topic,
		Revision:             m.Revision(msg.Topic),
		AcknowledgedRevision: msg.Revision,
	}
}
