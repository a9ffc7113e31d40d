package membership

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// sentHeartbeat remembers when a round of heartbeats was sent.
type sentHeartbeat struct {
	sequence uint64
	at       time.Duration
}

// monitor is what a node remembers of a member as one of its monitors, for the
// member's newest incarnation.
type memberMonitor struct {
	// lastHeard is when the member last was heard, or its set was learnt.
	lastHeard time.Duration
	// timedOutVersion is the newest set version reported silent. The node
	// never acknowledges that version again.
	timedOutVersion uint64
}

// sendHeartbeats sends one round to all targets, and now and then a digest to
// another member.
func (m *Machine) sendHeartbeats() {
	m.nextHeartbeat = m.now + m.config.HeartbeatEvery
	m.sequence++
	m.heartbeatRounds++
	m.sentHeartbeats = append(m.sentHeartbeats, sentHeartbeat{sequence: m.sequence, at: m.now})
	m.pruneSentHeartbeats()
	for _, id := range m.heartbeatTargets() {
		m.send(id, m.heartbeatFor(m.peers[id]))
	}
	if m.heartbeatRounds%roundsPerProbe == 0 {
		m.probe()
	}
}

// heartbeatFor holds this node's own row unless the peer's newest reply shows
// that it holds it. A peer that stopped replying is sent the row again, since it
// may have started anew without a table.
func (m *Machine) heartbeatFor(p *peer) Message {
	if m.hasSelfRecord(p) {
		return Message{Type: MessageHeartbeat, Sequence: m.sequence, MonitorSetVersion: p.reportedSetVersion}
	}
	record := m.selfRecord().clone()
	return Message{
		Type:              MessageHeartbeat,
		Sequence:          m.sequence,
		MonitorSetVersion: record.MonitorSetVersion,
		Records:           []Record{record},
	}
}

// hasSelfRecord tells whether a peer that answers holds the present row of this
// node. A reply is given only to the life in the replier's row, and within a life
// the row changes with the set version alone, beside silences.
func (m *Machine) hasSelfRecord(p *peer) bool {
	self := m.selfRecord()
	return p.acknowledged &&
		m.now-p.lastContact <= recordResendRounds*m.config.HeartbeatEvery &&
		p.reportedSetVersion == self.MonitorSetVersion &&
		len(self.TimeoutReports) == 0
}

// pruneSentHeartbeats drops the rounds whose acknowledgement would come too late.
func (m *Machine) pruneSentHeartbeats() {
	m.sentHeartbeats = slices.DeleteFunc(m.sentHeartbeats, func(sent sentHeartbeat) bool {
		return m.now-sent.at >= m.config.FenceAfter
	})
}

func (m *Machine) heartbeatTargets() []member.ID {
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
	if m.incarnation.left {
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
	e.monitor.lastHeard = m.now
	m.reply(msg, Message{
		Type:              MessageHeartbeatReply,
		Sequence:          msg.Sequence,
		Incarnation:       msg.Incarnation,
		MonitorSetVersion: e.record.MonitorSetVersion,
		TimedOutVersion:   e.monitor.timedOutVersion,
	})
	m.compareDigest(msg)
}

// onHeartbeatReply counts the acknowledgement by the time at which the
// heartbeat was sent.
func (m *Machine) onHeartbeatReply(msg Message) {
	m.compareDigest(msg)
	sentAt, found := m.heartbeatSentAt(msg.Sequence)
	p, known := m.peers[msg.From.ID]
	if !found || !known || msg.Incarnation != m.incarnation.number {
		return
	}
	p.boot = msg.Boot
	p.timedOutVersion = max(p.timedOutVersion, msg.TimedOutVersion)
	p.reportedSetVersion = msg.MonitorSetVersion
	if p.targeted {
		p.lastContact = max(p.lastContact, sentAt)
		p.acknowledged = true
	}
	if len(m.incarnation.monitorSets) == 0 || m.incarnation.left {
		return
	}
	for i := range m.incarnation.monitorSets {
		m.incarnation.monitorSets[i].acknowledge(msg, sentAt)
	}
	m.updateMonitorSets()
}

func (m *Machine) heartbeatSentAt(sequence uint64) (time.Duration, bool) {
	for _, sent := range m.sentHeartbeats {
		if sent.sequence == sequence && sequence >= m.incarnation.firstSequence {
			return sent.at, true
		}
	}
	return 0, false
}

// reportTimeouts reports each member that chose this node as a monitor and has
// been silent for long enough. The report is a promise: this process never again
// acknowledges that incarnation under that set version. A process that the member
// does not count on, as it started after the member's choice, reports too: a member
// that died shortly before would be taken for alive for ever.
func (m *Machine) reportTimeouts() {
	// A report changes the table and with it the set.
	for _, id := range slices.Clone(m.monitored) {
		e := m.table[id]
		if id == m.config.Self.ID || !m.hasTimedOut(e) {
			continue
		}
		e.monitor.timedOutVersion = e.record.MonitorSetVersion
		reported := e.record.clone()
		reported.addTimeoutReport(TimeoutReport{
			Monitor:           m.config.Self.ID,
			MonitorBoot:       m.boot,
			Incarnation:       reported.Info.Incarnation,
			MonitorSetVersion: reported.MonitorSetVersion,
		})
		m.merge(reported)
	}
}

func (m *Machine) hasTimedOut(e *entry) bool {
	if e.record.State == StateLeft || !e.record.namesMonitor(m.config.Self.ID) {
		return false
	}
	if e.monitor.timedOutVersion >= e.record.MonitorSetVersion {
		return false
	}
	return m.now-e.monitor.lastHeard >= m.config.monitorTimeout()
}
