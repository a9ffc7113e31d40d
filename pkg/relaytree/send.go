package relaytree

import (
	"cmp"
	"maps"
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// maxResends is how often a part of a large update is sent again.
const maxResends = 8

// position returns this node's position in the tree of a topic.
func (m *Machine) positionIn(topic Topic) treePosition {
	root, known := m.roots[topic]
	if !known {
		return treePosition{}
	}
	position, derived := m.positions[root]
	if !derived {
		position = positionInTree(m.config.Self, root, m.members, m.config.FanOut)
		m.positions[root] = position
	}
	return position
}

func (m *Machine) feedChildren(topic Topic, except member.ID) {
	for _, child := range m.positionIn(topic).children {
		if child != except {
			m.feed(child, topic)
		}
	}
}

// feed brings a member to the newest revision of a topic, unless an update is on
// its way: then its acknowledgement, or its expiry, sends the newest of that
// time.
func (m *Machine) feed(to member.ID, topic Topic) {
	key := feedKey{to: to, topic: topic}
	if m.inFlight[key] != nil {
		return
	}
	state := m.stateOf(topic)
	base, known := m.knownRevisions[key]
	if !known {
		base = state.guessBase()
	}
	if known && base >= state.revision {
		return
	}
	m.inFlight[key] = &transfer{update: state.updateFrom(base)}
	m.sendChunk(key)
}

// Feed sends a member what it lacks of a topic, whatever its place in the tree: for
// a publisher that knows better than the tree whom an update did not reach. A
// member that is known to hold nothing of a large state is left to its parent.
func (m *Machine) Feed(to member.ID, topic Topic) []Outbound {
	state := m.states[topic]
	if state == nil || to == m.config.Self {
		return nil
	}
	base, known := m.knownRevisions[feedKey{to: to, topic: topic}]
	if known && base == 0 && state.size > m.config.ChunkBytes {
		return nil
	}
	m.feed(to, topic)
	return m.flush()
}

func (m *Machine) sendChunk(key feedKey) {
	transfer := m.inFlight[key]
	transfer.sentAt = m.now
	m.send(key.to, transfer.update.message(key.topic, transfer.chunk))
}

// expireTransfers sends a lost part of a large update again, and gives up waiting
// for other acknowledgements. What was lost of those is found by the receiver's
// next digest; what is newer goes out now.
func (m *Machine) expireTransfers() {
	for _, key := range m.overdue() {
		transfer := m.inFlight[key]
		if len(transfer.update.chunks) > 1 && transfer.resends < maxResends {
			transfer.resends++
			m.sendChunk(key)
			continue
		}
		delete(m.inFlight, key)
		if m.Revision(key.topic) > transfer.update.revision {
			m.feed(key.to, key.topic)
		}
	}
}

// overdue lists the flights without an acknowledgement in time, sorted.
func (m *Machine) overdue() []feedKey {
	var overdue []feedKey
	for key, transfer := range m.inFlight {
		if m.now-transfer.sentAt >= m.config.DigestEvery {
			overdue = append(overdue, key)
		}
	}
	slices.SortFunc(overdue, func(a, b feedKey) int {
		return cmp.Or(cmp.Compare(a.to, b.to), cmp.Compare(a.topic, b.topic))
	})
	return overdue
}

// sendDigests tells a parent in turn, and one other member in turn, what is held;
// and all parents after a move in the trees. Any of them that holds something
// newer sends it, whatever the topic.
func (m *Machine) sendDigests() {
	receivers := m.parents()
	if m.parentsChanged {
		m.parentsChanged = false
		m.parentsNotifiedAt = m.now
	} else if len(receivers) > 1 {
		inTurn := m.digestTurn % uint64(len(receivers))
		receivers = receivers[inTurn : inTurn+1]
	}
	if len(m.members) > 1 {
		others := slices.DeleteFunc(slices.Clone(m.members), func(other Member) bool {
			return other.ID == m.config.Self
		})
		inTurn := others[m.digestTurn%uint64(len(others))].ID
		m.digestTurn++
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
		if parent := m.positionIn(topic).parent; parent != "" {
			parents = append(parents, parent)
		}
	}
	slices.Sort(parents)
	return slices.Compact(parents)
}

func (m *Machine) sendDigest(to member.ID) {
	m.digestSentAt[to] = m.now
	known := make([]TopicRevision, 0, len(m.states))
	for topic, state := range m.states {
		known = append(known, TopicRevision{
			Topic:      topic,
			Revision:   state.revision,
			Assembling: m.isAssembling(topic),
		})
	}
	for topic := range m.assemblies {
		if m.states[topic] == nil && m.isAssembling(topic) {
			known = append(known, TopicRevision{Topic: topic, Assembling: true})
		}
	}
	slices.SortFunc(known, func(a, b TopicRevision) int { return cmp.Compare(a.Topic, b.Topic) })
	m.send(to, Message{Type: MessageDigest, Revisions: known})
}

// onDigest sends what is newer here, and asks for what is newer there.
func (m *Machine) onDigest(from member.ID, known []TopicRevision) {
	theirs := make(map[Topic]TopicRevision, len(known))
	senderNewer := false
	for _, entry := range known {
		theirs[entry.Topic] = entry
		senderNewer = senderNewer || entry.Revision > m.Revision(entry.Topic)
	}
	for _, topic := range slices.Sorted(maps.Keys(m.states)) {
		their := theirs[topic]
		m.knownRevisions[feedKey{to: from, topic: topic}] = their.Revision
		if m.states[topic].revision > their.Revision && !their.Assembling {
			m.feed(from, topic)
		}
	}
	if senderNewer {
		m.replyWithDigest(from)
	}
}

// replyWithDigest answers with a digest, unless one went there so lately that the two
// would answer each other without end.
func (m *Machine) replyWithDigest(from member.ID) {
	sentAt, sent := m.digestSentAt[from]
	if sent && m.now-sentAt < m.config.DigestEvery/2 {
		return
	}
	m.sendDigest(from)
}
