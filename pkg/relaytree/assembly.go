package relaytree

import (
	"maps"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// assemblyPatience is how many digest intervals pass without a part before
	// another sender may begin.
	assemblyPatience = 2
	// assemblyLife is how many digest intervals a part is kept for whoever
	// goes on with it.
	assemblyLife = 10
)

// assembly gathers the parts of one update. There is one a topic at most, and
// nothing of it is held before it is whole.
type assembly struct {
	from member.ID
	// first is the first part, which tells what the others belong to.
	first Message
	// next is the part that is waited for.
	next   uint32
	change changes
	heard  time.Duration
}

// includes tells whether a message is a part of the same update. Equal states
// are cut into equal parts, so that another member can go on with them.
func (a *assembly) includes(msg Message) bool {
	return a.first.Revision == msg.Revision &&
		a.first.BaseRevision == msg.BaseRevision &&
		a.first.Checksum == msg.Checksum &&
		a.first.Parts == msg.Parts
}

// gather takes a part, and returns the update's changes once it has all. An
// update in one part needs no assembly.
func (m *Machine) gather(from member.ID, msg Message) (all changes, complete bool) {
	part := changes{sections: msg.Sections, removed: msg.Removed}
	if msg.Parts <= 1 {
		return part, true
	}
	if m.receivesFromOther(from, msg.Topic) {
		return changes{}, false
	}
	gathering := m.assemblies[msg.Topic]
	if gathering == nil || !gathering.includes(msg) {
		gathering = &assembly{from: from, first: msg}
		m.assemblies[msg.Topic] = gathering
	}
	gathering.from = from
	gathering.heard = m.now
	if msg.Part == gathering.next {
		gathering.change.sections = append(gathering.change.sections, part.sections...)
		gathering.change.removed = append(gathering.change.removed, part.removed...)
		gathering.next++
	}
	if gathering.next < msg.Parts {
		m.acknowledgeParts(from, msg, gathering.next)
		return changes{}, false
	}
	return gathering.change, true
}

// receivesFromOther tells whether another member is sending a state in parts.
// Its parts are waited for, and what doesn't fit meanwhile is left unanswered,
// so that no second transfer begins.
func (m *Machine) receivesFromOther(from member.ID, topic Topic) bool {
	gathering := m.assemblies[topic]
	return gathering != nil && gathering.from != from && m.isFresh(gathering)
}

func (m *Machine) isFresh(gathering *assembly) bool {
	return m.now-gathering.heard < assemblyPatience*m.config.DigestEvery
}

// isAssembling tells whether parts of a newer state are coming in.
func (m *Machine) isAssembling(topic Topic) bool {
	gathering := m.assemblies[topic]
	return gathering != nil && m.isFresh(gathering)
}

// expireAssemblies drops what nobody has gone on with.
func (m *Machine) expireAssemblies() {
	maps.DeleteFunc(m.assemblies, func(_ Topic, gathering *assembly) bool {
		return m.now-gathering.heard >= assemblyLife*m.config.DigestEvery
	})
}

func (m *Machine) acknowledgeParts(from member.ID, msg Message, next uint32) {
	m.send(from, Message{
		Type:     MessageAcknowledge,
		Topic:    msg.Topic,
		Revision: m.Revision(msg.Topic),
		Answers:  msg.Revision,
		Part:     next,
	})
}
