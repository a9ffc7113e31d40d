package relaytree

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// onUpdate takes an update that leads from the revision held to a newer one.
// One that doesn't fit is answered with the revision held, upon which the sender
// sends what fits.
func (m *Machine) onUpdate(from member.ID, msg Message) []Update {
	held := m.Revision(msg.Topic)
	if msg.Revision <= held {
		m.acknowledge(from, msg)
		return nil
	}
	if msg.BaseRevision > held {
		if !m.receivesFromOther(from, msg.Topic) {
			m.acknowledge(from, msg)
		}
		return nil
	}
	change, complete := m.gather(from, msg)
	if !complete {
		return nil
	}
	if msg.BaseRevision == 0 {
		change = m.stateOf(msg.Topic).differenceTo(change.sections)
	}
	if m.stateOf(msg.Topic).checksumAfter(change) != msg.Checksum {
		m.refuse(from, msg)
		return nil
	}
	updates := m.hold(msg.Topic, msg.Revision, change)
	m.known[link{to: from, topic: msg.Topic}] = msg.Revision
	m.acknowledge(from, msg)
	m.feedChildren(msg.Topic, from)
	return updates
}

// refuse asks for a whole state in place of a delta that leads elsewhere. A
// whole state that is damaged is left unanswered: the next digest asks again.
func (m *Machine) refuse(from member.ID, msg Message) {
	delete(m.assemblies, msg.Topic)
	if msg.BaseRevision == 0 {
		return
	}
	m.send(from, Message{
		Type:     MessageAcknowledge,
		Topic:    msg.Topic,
		Revision: m.Revision(msg.Topic),
		Answers:  msg.Revision,
		Mismatch: true,
	})
}

func (m *Machine) acknowledge(from member.ID, msg Message) {
	m.send(from, Message{
		Type:     MessageAcknowledge,
		Topic:    msg.Topic,
		Revision: m.Revision(msg.Topic),
		Answers:  msg.Revision,
	})
}

// onAcknowledge sends the next part, or whatever is newer than what the
// receiver holds now.
func (m *Machine) onAcknowledge(from member.ID, msg Message) {
	way := link{to: from, topic: msg.Topic}
	flying := m.inFlight[way]
	answersFlight := flying != nil && flying.update.revision == msg.Answers
	if answersFlight && msg.Part > 0 {
		m.advance(way, int(msg.Part))
		return
	}
	m.known[way] = msg.Revision
	if msg.Mismatch {
		m.known[way] = 0
		// A snapshot may be no newer than what the receiver holds.
		m.stateOf(msg.Topic).snapshot = nil
	}
	if flying != nil && !answersFlight {
		return
	}
	delete(m.inFlight, way)
	if msg.Revision < m.Revision(msg.Topic) {
		m.feed(from, msg.Topic)
	}
}

// advance goes on with the part that the receiver waits for. An acknowledgement
// that came twice, or late, moves nothing.
func (m *Machine) advance(way link, next int) {
	flying := m.inFlight[way]
	if next <= flying.part || next >= len(flying.update.parts) {
		return
	}
	flying.part = next
	flying.repeats = 0
	m.sendPart(way)
}
