package membership

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// sentRound remembers when a round of heartbeats was sent.
type sentRound struct {
	sequence uint64
	at       time.Duration
}

// watch is what a node remembers of a member as one of its monitors, for the
// member's newest incarnation.
type watch struct {
	// heard is when the member last was heard, or its set was learnt.
	heard time.Duration
	// silencedVersion is the newest set version reported silent. The node
	// never acknowledges that version again.
	silencedVersion uint64
}

// heartbeat sends one round to all targets, and now and then a digest to
// another member.
func (m *Machine) heartbeat() {
	m.nextHeartbeat = m.now + m.config.HeartbeatEvery
	m.sequence++
	m.rounds++
	m.sent = append(m.sent, sentRound{sequence: m.sequence, at: m.now})
	m.pruneSent()
	for _, id := range m.targets() {
		m.send(id, m.heartbeatFor(m.peers[id]))
	}
	if m.rounds%probeRounds == 0 {
		m.probe()
	}
}

// heartbeatFor holds this node's own row unless the peer's newest reply shows
// that it holds it. A peer that stopped replying is sent the row again, since it
// may have started anew without a table.
func (m *Machine) heartbeatFor(p *peer) Message {
	if m.holdsSelf(p) {
		return Message{Type: MessageHeartbeat, Sequence: m.sequence, MonitorSetVersion: p.setVersion}
	}
	record := m.selfRecord().clone()
	return Message{
		Type:              MessageHeartbeat,
		Sequence:          m.sequence,
		MonitorSetVersion: record.MonitorSetVersion,
		Records:           []Record{record},
	}
}

// holdsSelf tells whether a peer that answers holds the present row of this
// node. A reply is given only to the life in the replier's row, and within a life
// the row changes with the set version alone, beside silences.
func (m *Machine) holdsSelf(p *peer) bool {
	self := m.selfRecord()
	return p.answered &&
		m.now-p.contact <= rowRepeatRounds*m.config.HeartbeatEvery &&
		p.setVersion == self.MonitorSetVersion &&
		len(self.Silences) == 0
}

// pruneSent drops the rounds whose acknowledgement would come too late.
func (m *Machine) pruneSent() {
	m.sent = slices.DeleteFunc(m.sent, func(round sentRound) bool {
		return m.now-round.at >= m.config.FenceAfter
	})
}

func (m *Machine) targets() []member.ID {
	var ids []member.ID
	for id, p := range m.peers {
		if p.targeted {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// onHeartbeat acknowledges a heartbeat of the sender's newest life, and tells
// the sender of a later life of its own, if there is one.
func (m *Machine) onHeartbeat(msg Message) {
	if m.life.left {
		m.reply(msg, Message{Type: MessageGossip, Records: []Record{m.selfRecord().clone()}})
		return
	}
	e, known := m.table[msg.From.ID]
	if !known {
		return
	}
	if e.record.Info.Incarnation != msg.Incarnation || e.record.State == StateLeft {
		m.reply(msg, Message{Type: MessageGossip, Records: []Record{e.record.clone()}})
		return
	}
	e.watch.heard = m.now
	m.reply(msg, Message{
		Type:              MessageHeartbeatReply,
		Sequence:          msg.Sequence,
		Incarnation:       msg.Incarnation,
		MonitorSetVersion: e.record.MonitorSetVersion,
		SilencedVersion:   e.watch.silencedVersion,
	})
	m.compareDigest(msg)
}

// onHeartbeatReply counts the acknowledgement by the time at which the
// heartbeat was sent.
func (m *Machine) onHeartbeatReply(msg Message) {
	m.compareDigest(msg)
	sentAt, found := m.sentAt(msg.Sequence)
	p, known := m.peers[msg.From.ID]
	if !found || !known || msg.Incarnation != m.life.incarnation {
		return
	}
	p.boot = msg.Boot
	p.silencedVersion = max(p.silencedVersion, msg.SilencedVersion)
	p.setVersion = msg.MonitorSetVersion
	if p.targeted {
		p.contact = max(p.contact, sentAt)
		p.answered = true
	}
	if len(m.life.sets) == 0 || m.life.left {
		return
	}
	for i := range m.life.sets {
		m.life.sets[i].acknowledge(msg, sentAt)
	}
	m.settleSets()
}

func (m *Machine) sentAt(sequence uint64) (time.Duration, bool) {
	for _, round := range m.sent {
		if round.sequence == sequence && sequence >= m.life.firstSequence {
			return round.at, true
		}
	}
	return 0, false
}

// reportSilences reports each member that chose this node as a monitor and has
// been silent for long enough. The report is a promise: this process never again
// acknowledges that incarnation under that set version. A process that the member
// does not count on, as it started after the member's choice, reports too: a member
// that died shortly before would be taken for alive for ever.
func (m *Machine) reportSilences() {
	// A report changes the table and with it the set.
	for _, id := range slices.Clone(m.watched) {
		e := m.table[id]
		if id == m.config.Self.ID || !m.mustReport(e) {
			continue
		}
		e.watch.silencedVersion = e.record.MonitorSetVersion
		reported := e.record.clone()
		reported.addSilence(Silence{
			Monitor:           m.config.Self.ID,
			MonitorBoot:       m.boot,
			Incarnation:       reported.Info.Incarnation,
			MonitorSetVersion: reported.MonitorSetVersion,
		})
		m.merge(reported)
	}
}

func (m *Machine) mustReport(e *entry) bool {
	if e.record.State == StateLeft || !e.record.namesMonitor(m.config.Self.ID) {
		return false
	}
	if e.watch.silencedVersion >= e.record.MonitorSetVersion {
		return false
	}
	return m.now-e.watch.heard >= m.config.silenceAfter()
}
