package relaytree

import (
	"cmp"
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// place returns this node's position in the tree of a topic.
func (m *Machine) place(topic Topic) position {
	root, known := m.roots[topic]
	if !known {
		return position{}
	}
	place, derived := m.positions[root]
	if !derived {
		place = placeInTree(m.config.Self, root, m.members, m.config.FanOut)
		m.positions[root] = place
	}
	return place
}

func (m *Machine) feedChildren(topic Topic, except member.ID) {
	for _, child := range m.place(topic).children {
		if child != except {
			m.feed(child, topic)
		}
	}
}

// feed sends the newest revision of a topic, unless an update is on its way:
// then its acknowledgement, or its expiry, sends the newest of that time.
func (m *Machine) feed(to member.ID, topic Topic) {
	way := link{to: to, topic: topic}
	if _, busy := m.inFlight[way]; busy {
		return
	}
	held := m.held[topic]
	m.inFlight[way] = flight{revision: held.revision, sentAt: m.now}
	m.send(to, Message{
		Type:     MessageUpdate,
		Topic:    topic,
		Revision: held.revision,
		Payload:  held.payload,
	})
}

// expireFlights gives up waiting for acknowledgements. What was lost is found
// by the receiver's next digest; what is newer goes out now.
func (m *Machine) expireFlights() {
	var expired []link
	for way, sent := range m.inFlight {
		if m.now-sent.sentAt >= m.config.DigestEvery {
			expired = append(expired, way)
		}
	}
	slices.SortFunc(expired, func(a, b link) int {
		return cmp.Or(cmp.Compare(a.to, b.to), cmp.Compare(a.topic, b.topic))
	})
	for _, way := range expired {
		sent := m.inFlight[way]
		delete(m.inFlight, way)
		if m.Revision(way.topic) > sent.revision {
			m.feed(way.to, way.topic)
		}
	}
}

// sendDigests tells the parents and one other member in turn what is held.
func (m *Machine) sendDigests() {
	receivers := m.parents()
	if len(m.members) > 1 {
		others := slices.DeleteFunc(slices.Clone(m.members), func(other Member) bool {
			return other.ID == m.config.Self
		})
		inTurn := others[m.turn%uint64(len(others))].ID
		m.turn++
		if !slices.Contains(receivers, inTurn) {
			receivers = append(receivers, inTurn)
		}
	}
	for _, id := range receivers {
		m.sendDigest(id)
	}
}

// parents are this node's parents in the trees of all topics, sorted.
func (m *Machine) parents() []member.ID {
	var parents []member.ID
	for topic := range m.roots {
		if parent := m.place(topic).parent; parent != "" {
			parents = append(parents, parent)
		}
	}
	slices.Sort(parents)
	return slices.Compact(parents)
}

func (m *Machine) sendDigest(to member.ID) {
	m.digestSent[to] = m.now
	known := make([]TopicRevision, 0, len(m.held))
	for topic, held := range m.held {
		known = append(known, TopicRevision{Topic: topic, Revision: held.revision})
	}
	slices.SortFunc(known, func(a, b TopicRevision) int { return cmp.Compare(a.Topic, b.Topic) })
	m.send(to, Message{Type: MessageDigest, Known: known})
}

// onDigest sends what is newer here, and asks for what is newer there.
func (m *Machine) onDigest(from member.ID, known []TopicRevision) {
	theirs := make(map[Topic]uint64, len(known))
	senderNewer := false
	for _, entry := range known {
		theirs[entry.Topic] = entry.Revision
		senderNewer = senderNewer || entry.Revision > m.Revision(entry.Topic)
	}
	var newer []Topic
	for topic, held := range m.held {
		if held.revision > theirs[topic] {
			newer = append(newer, topic)
		}
	}
	slices.Sort(newer)
	for _, topic := range newer {
		m.feed(from, topic)
	}
	if senderNewer {
		m.askOnce(from)
	}
}

// askOnce answers with a digest, unless one went there so lately that the two
// would answer each other without end.
func (m *Machine) askOnce(from member.ID) {
	sentAt, asked := m.digestSent[from]
	if asked && m.now-sentAt < m.config.DigestEvery/2 {
		return
	}
	m.sendDigest(from)
}
