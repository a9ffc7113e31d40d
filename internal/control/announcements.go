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
	// directAfter is how long the relay tree may take before the leader of a
	// shard sends a new state directly to nodes that have not confirmed it, and
	// how often it does.
	directAfter = 200 * time.Millisecond
	// mostDirect bounds the nodes that a leader sends to at once.
	mostDirect = 16
)

// spreading is what the leader of a shard knows of the way of its newest state.
// It is kept where the membership, and not a registry, tells which nodes there
// are.
type spreading struct {
	// term is that of the leadership which the rest belongs to.
	term uint64
	// announced is when each life of a node was last told of the leadership.
	announced map[member.ID]announcement
	// revision is the newest one published, and since when it is under way.
	revision uint64
	since    time.Duration
	nextSend time.Duration
	// turn chooses whom to send to first.
	turn int
}

type announcement struct {
	incarnation member.Incarnation
	at          time.Duration
}

// tickSpreading makes the leadership of shards known, and brings their newest
// states to nodes that the relay tree did not reach in time: because their parent
// is down, frozen or cut off, or because they see other members than their
// parents do.
func (m *Machine) tickSpreading() {
	if !m.config.FailOpen {
		return
	}
	for _, id := range m.shardIDs {
		hosted := m.shards[id]
		if hosted == nil || !hosted.leads() || !hosted.group.BarrierApplied() {
			continue
		}
		term := hosted.group.Status().Term
		if hosted.spreading.term != term {
			hosted.spreading = spreading{term: term, announced: map[member.ID]announcement{}}
		}
		m.announce(hosted)
		m.sendDirectly(hosted)
	}
}

// announce tells nodes that this one leads the shard, and asks what they serve.
// Those that answer confirm what they serve from then on by themselves.
func (m *Machine) announce(hosted *shard) {
	for _, record := range m.members.Records() {
		id := record.Info.ID
		last, told := hosted.spreading.announced[id]
		current := told && last.incarnation == record.Info.Incarnation
		if id == m.config.Self.ID || !isLive(record) {
			continue
		}
		if current && (m.hasConfirmed(hosted, record) || m.now-last.at < announceEvery) {
			continue
		}
		hosted.spreading.announced[id] = announcement{incarnation: record.Info.Incarnation, at: m.now}
		m.askConfirmation(hosted, id)
	}
}

// hasConfirmed tells whether a life of a node has confirmed anything.
func (m *Machine) hasConfirmed(hosted *shard, record membership.Record) bool {
	row, found := m.confirmed.rows[confirmationKey{shard: hosted.id, node: record.Info.ID}]
	return found && row.incarnation >= record.Info.Incarnation
}

func (m *Machine) askConfirmation(hosted *shard, id member.ID) {
	m.sendControl(id, protocol.Message{
		Type:  protocol.MessageAskConfirm,
		Shard: hosted.id,
		Term:  hosted.group.Status().Term,
	})
}

// receiveAskConfirm answers a leader, and notes that it is one.
func (m *Machine) receiveAskConfirm(from member.ID, message protocol.Message) {
	if message.Term > 0 && message.Term >= m.terms[message.Shard].term {
		m.learnTerm(message.Shard, message.Term)
		m.lastLeaders[message.Shard] = from
	}
	m.sendControl(from, m.ownConfirmation())
}

// sendDirectly sends the newest state of a shard to some nodes that have not
// confirmed it in time.
func (m *Machine) sendDirectly(hosted *shard) {
	state := &hosted.spreading
	if revision := hosted.state.Revision(); revision != state.revision {
		state.revision = revision
		state.since = m.now
		state.nextSend = m.now + directAfter
	}
	if m.now < state.nextSend {
		return
	}
	state.nextSend = m.now + directAfter
	lacking := m.nodesLacking(hosted)
	for position := range min(len(lacking), mostDirect) {
		id := lacking[(state.turn+position)%len(lacking)]
		m.sendRelay(m.relay.Feed(id, relaytree.Topic(hosted.id)))
		m.askConfirmation(hosted, id)
	}
	state.turn += mostDirect
}

// nodesLacking lists the live nodes that have not confirmed the newest revision.
func (m *Machine) nodesLacking(hosted *shard) []member.ID {
	var lacking []member.ID
	for _, record := range m.members.Records() {
		id := record.Info.ID
		if id == m.config.Self.ID || !isLive(record) {
			continue
		}
		row := m.confirmed.rows[confirmationKey{shard: hosted.id, node: id}]
		if row.incarnation < record.Info.Incarnation || row.revision < hosted.spreading.revision {
			lacking = append(lacking, id)
		}
	}
	return lacking
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
	m.hold(updates)
}
