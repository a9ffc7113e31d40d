package relaytree

import (
	"cmp"
	"maps"
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// parentDigestsPerInterval is how often in DigestEvery new parents get a digest at most.
const parentDigestsPerInterval = 4

// scheduleParentDigests brings the next digests forward after a change of the trees: the
// new parents get them at once, but not again and again while members come and go one
// after the other.
func (m *Machine) scheduleParentDigests() {
	m.parentsChanged = true
	m.nextDigest = min(m.nextDigest, max(m.now, m.parentsNotifiedAt+m.config.DigestEvery/parentDigestsPerInterval))
}

// sendDigests sends a digest to one parent in turn and one other member in turn; after a
// change of the trees, to all parents. Any of them that has something newer sends it,
// whatever the topic.
func (m *Machine) sendDigests() {
	receivers := m.topology.parents()
	if m.parentsChanged {
		m.parentsChanged = false
		m.parentsNotifiedAt = m.now
	} else if len(receivers) > 1 {
		inTurn := m.digestTurn % uint64(len(receivers))
		receivers = receivers[inTurn : inTurn+1]
	}
	if others := m.topology.others(); len(others) > 0 {
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

// sendDigest sends a member the revisions that this node has or is assembling.
func (m *Machine) sendDigest(to member.ID) {
	m.digestSentAt[to] = m.now
	revisions := make([]TopicRevision, 0, len(m.store.states))
	for topic, state := range m.store.states {
		revisions = append(revisions, TopicRevision{
			Topic:      topic,
			Revision:   state.revision,
			Assembling: m.assembler.isActive(m.now, topic),
		})
	}
	for topic := range m.assembler.assemblies {
		if m.store.states[topic] == nil && m.assembler.isActive(m.now, topic) {
			revisions = append(revisions, TopicRevision{Topic: topic, Assembling: true})
		}
	}
	slices.SortFunc(revisions, func(a, b TopicRevision) int { return cmp.Compare(a.Topic, b.Topic) })
	m.outbox.send(to, Message{Type: MessageDigest, Revisions: revisions})
}

// onDigest sends what is newer here, and replies with a digest if something is newer there.
func (m *Machine) onDigest(from member.ID, revisions []TopicRevision) {
	theirs := make(map[Topic]TopicRevision, len(revisions))
	senderNewer := false
	for _, entry := range revisions {
		theirs[entry.Topic] = entry
		senderNewer = senderNewer || entry.Revision > m.Revision(entry.Topic)
	}
	for _, topic := range slices.Sorted(maps.Keys(m.store.states)) {
		their := theirs[topic]
		m.sender.knownRevisions[feedKey{to: from, topic: topic}] = their.Revision
		if m.store.states[topic].revision > their.Revision && !their.Assembling {
			m.sender.feed(m.now, from, topic)
		}
	}
	if senderNewer {
		m.replyWithDigest(from)
	}
}

// replyWithDigest sends a digest, unless one went there so lately that the two nodes
// would reply to each other without end.
func (m *Machine) replyWithDigest(from member.ID) {
	sentAt, sent := m.digestSentAt[from]
	if sent && m.now-sentAt < m.config.DigestEvery/2 {
		return
	}
	m.sendDigest(from)
}
