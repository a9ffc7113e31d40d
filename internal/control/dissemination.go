package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

const (
	// announceEvery is how often a leader tells a node which has not confirmed
	// anything that it leads the shard.
	announceEvery = time.Second
	// directSendDelay is how long the relay tree may take before the leader of a
	// shard sends a new state directly to nodes that have not confirmed it, and
	// how often it does.
	directSendDelay = 200 * time.Millisecond
	// maxDirectSends bounds the nodes that a leader sends to at once.
	maxDirectSends = 16
)

// dissemination is what the leader of a shard knows of the way of its newest state.
// It is kept where the membership, and not a registry, tells which nodes there
// are.
type dissemination struct {
	// term is that of the leadership which the rest belongs to.
	term uint64
	// announcements is when each life of a node was last told of the leadership.
	announcements map[member.ID]announcement
	// revision is the newest one published, and since when it is under way.
	revision    uint64
	publishedAt time.Duration
	nextSend    time.Duration
	// nextReceiver chooses whom to send to first.
	nextReceiver int
}

type announcement struct {
	incarnation member.Incarnation
	at          time.Duration
}

// tickDissemination makes the leadership of shards known, and brings their newest
// states to nodes that the relay tree did not reach in time: because their parent
// is down, frozen or cut off, or because they see other members than their
// parents do.
func (m *Machine) tickDissemination() {
	if !m.config.FailOpen {
		return
	}
	for _, id := range m.shardIDs {
		hosted := m.shards[id]
		if hosted == nil || !hosted.isLeader() || !hosted.group.BarrierApplied() {
			continue
		}
		term := hosted.group.Status().Term
		if hosted.dissemination.term != term {
			hosted.dissemination = dissemination{term: term, announcements: map[member.ID]announcement{}}
		}
		m.announce(hosted)
		m.sendStateDirectly(hosted)
	}
}

// announce tells nodes that this one leads the shard, and asks what they serve.
// Those that answer confirm what they serve from then on by themselves.
func (m *Machine) announce(hosted *shard) {
	for _, record := range m.members.Records() {
		id := record.Info.ID
		last, announced := hosted.dissemination.announcements[id]
		current := announced && last.incarnation == record.Info.Incarnation
		if id == m.config.Self.ID || !isLive(record) {
			continue
		}
		if current && (m.hasConfirmed(hosted, record) || m.now-last.at < announceEvery) {
			continue
		}
		hosted.dissemination.announcements[id] = announcement{incarnation: record.Info.Incarnation, at: m.now}
		m.requestConfirmation(hosted, id)
	}
}

// hasConfirmed tells whether a life of a node has confirmed anything.
func (m *Machine) hasConfirmed(hosted *shard, record membership.Record) bool {
	row, found := m.confirmations.byNode[confirmationKey{shard: hosted.id, node: record.Info.ID}]
	return found && row.incarnation >= record.Info.Incarnation
}

func (m *Machine) requestConfirmation(hosted *shard, id member.ID) {
	m.sendControl(id, protocol.Message{
		Type:  protocol.MessageConfirmRequest,
		Shard: hosted.id,
		Term:  hosted.group.Status().Term,
	})
}

// receiveConfirmationRequest answers a leader, and notes that it is one.
func (m *Machine) receiveConfirmationRequest(from member.ID, message protocol.Message) {
	if message.Term > 0 && message.Term >= m.observedTerms[message.Shard].term {
		m.observeTerm(message.Shard, message.Term)
		m.leaders.Learn(message.Shard, from)
	}
	m.sendControl(from, m.localConfirmation())
}

// sendStateDirectly sends the newest state of a shard to some nodes that have not
// confirmed it in time.
func (m *Machine) sendStateDirectly(hosted *shard) {
	state := &hosted.dissemination
	if revision := hosted.state.Revision(); revision != state.revision {
		state.revision = revision
		state.publishedAt = m.now
		state.nextSend = m.now + directSendDelay
	}
	if m.now < state.nextSend {
		return
	}
	state.nextSend = m.now + directSendDelay
	behind := m.nodesBehind(hosted)
	for position := range min(len(behind), maxDirectSends) {
		id := behind[(state.nextReceiver+position)%len(behind)]
		m.sendRelay(m.relay.Feed(id, relaytree.Topic(hosted.id)))
		m.requestConfirmation(hosted, id)
	}
	state.nextReceiver += maxDirectSends
}

// nodesBehind lists the live nodes that have not confirmed the newest revision.
func (m *Machine) nodesBehind(hosted *shard) []member.ID {
	var behind []member.ID
	for _, record := range m.members.Records() {
		id := record.Info.ID
		if id == m.config.Self.ID || !isLive(record) {
			continue
		}
		row := m.confirmations.byNode[confirmationKey{shard: hosted.id, node: id}]
		if row.incarnation < record.Info.Incarnation || row.revision < hosted.dissemination.revision {
			behind = append(behind, id)
		}
	}
	return behind
}

// publishRestored takes what the disk kept of a shard as a state to serve by, so
// that a node does so also while there is no quorum.
func (m *Machine) publishRestored(hosted *shard) {
	topic := relaytree.Topic(hosted.id)
	revision := hosted.state.Revision()
	if !m.config.FailOpen || hosted.restoredPublished || revision <= m.relay.Revision(topic) {
		return
	}
	hosted.restoredPublished = true
	sections, err := hosted.state.Sections()
	if err != nil {
		hosted.badEntries++
		return
	}
	sends, updates := m.relay.Publish(topic, revision, sections)
	m.sendRelay(sends)
	m.receiveUpdates(updates)
}
