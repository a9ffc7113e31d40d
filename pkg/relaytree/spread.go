package relaytree

import (
	"cmp"
	"maps"
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// maxRepeats is how often a part of a large update is sent again.
const maxRepeats = 8

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

// feed brings a member to the newest revision of a topic, unless an update is on
// its way: then its acknowledgement, or its expiry, sends the newest of that
// time.
func (m *Machine) feed(to member.ID, topic Topic) {
	way := link{to: to, topic: topic}
	if m.inFlight[way] != nil {
		return
	}
	held := m.stateOf(topic)
	base, heard := m.known[way]
	if !heard {
		base = held.guessBase()
	}
	if heard && base >= held.revision {
		return
	}
	m.inFlight[way] = &flight{update: held.updateFrom(base)}
	m.sendPart(way)
}

// Feed sends a member what it lacks of a topic, whatever its place in the tree: for
// a publisher that knows better than the tree whom an update did not reach. A
// member that is known to hold nothing of a large state is left to its parent.
func (m *Machine) Feed(to member.ID, topic Topic) []Outbound {
	held := m.held[topic]
	if held == nil || to == m.config.Self {
		return nil
	}
	base, heard := m.known[link{to: to, topic: topic}]
	if heard && base == 0 && held.size > m.config.PartBytes {
		return nil
	}
	m.feed(to, topic)
	return m.flush()
}

func (m *Machine) sendPart(way link) {
	flying := m.inFlight[way]
	flying.sentAt = m.now
	m.send(way.to, flying.update.message(way.topic, flying.part))
}

// expireFlights sends a lost part of a large update again, and gives up waiting
// for other acknowledgements. What was lost of those is found by the receiver's
// next digest; what is newer goes out now.
func (m *Machine) expireFlights() {
	for _, way := range m.overdue() {
		flying := m.inFlight[way]
		if len(flying.update.parts) > 1 && flying.repeats < maxRepeats {
			flying.repeats++
			m.sendPart(way)
			continue
		}
		delete(m.inFlight, way)
		if m.Revision(way.topic) > flying.update.revision {
			m.feed(way.to, way.topic)
		}
	}
}

// overdue lists the flights without an acknowledgement in time, sorted.
func (m *Machine) overdue() []link {
	var overdue []link
	for way, flying := range m.inFlight {
		if m.now-flying.sentAt >= m.config.DigestEvery {
			overdue = append(overdue, way)
		}
	}
	slices.SortFunc(overdue, func(a, b link) int {
		return cmp.Or(cmp.Compare(a.to, b.to), cmp.Compare(a.topic, b.topic))
	})
	return overdue
}

// sendDigests tells a parent in turn, and one other member in turn, what is held;
// and all parents after a move in the trees. Any of them that holds something
// newer sends it, whatever the topic.
func (m *Machine) sendDigests() {
	receivers := m.parents()
	if m.moved {
		m.moved = false
		m.greeted = m.now
	} else if len(receivers) > 1 {
		inTurn := m.turn % uint64(len(receivers))
		receivers = receivers[inTurn : inTurn+1]
	}
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
		known = append(known, TopicRevision{
			Topic:      topic,
			Revision:   held.revision,
			Assembling: m.isAssembling(topic),
		})
	}
	for topic := range m.assemblies {
		if m.held[topic] == nil && m.isAssembling(topic) {
			known = append(known, TopicRevision{Topic: topic, Assembling: true})
		}
	}
	slices.SortFunc(known, func(a, b TopicRevision) int { return cmp.Compare(a.Topic, b.Topic) })
	m.send(to, Message{Type: MessageDigest, Known: known})
}

// onDigest sends what is newer here, and asks for what is newer there.
func (m *Machine) onDigest(from member.ID, known []TopicRevision) {
	theirs := make(map[Topic]TopicRevision, len(known))
	senderNewer := false
	for _, entry := range known {
		theirs[entry.Topic] = entry
		senderNewer = senderNewer || entry.Revision > m.Revision(entry.Topic)
	}
	for _, topic := range slices.Sorted(maps.Keys(m.held)) {
		their := theirs[topic]
		m.known[link{to: from, topic: topic}] = their.Revision
		if m.held[topic].revision > their.Revision && !their.Assembling {
			m.feed(from, topic)
		}
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
