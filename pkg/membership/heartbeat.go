package membership

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// sendHeartbeats sends one heartbeat to each target, and a probe in every
// roundsPerProbe-th round.
func (m *Machine) sendHeartbeats() {
	m.nextHeartbeat = m.now + m.config.HeartbeatEvery
	m.heartbeatRounds++
	sequence := m.heartbeats.add(m.now, m.config.FenceAfter)
	for _, id := range m.monitors.targets() {
		m.send(id, m.monitors.heartbeat(m.now, id, sequence))
	}
	if m.heartbeatRounds%roundsPerProbe == 0 {
		m.probe()
	}
}

// onHeartbeat acknowledges a heartbeat of the sender's newest incarnation. A sender that
// has been superseded, left or was removed gets the record that this node has of it
// instead. A node that has left itself replies with its own record.
func (m *Machine) onHeartbeat(msg Message) {
	if m.fence.left {
		m.reply(msg, Message{Type: MessageGossip, Records: []Record{m.table.selfRecord().clone()}})
		return
	}
	e, known := m.table.entries[msg.From.ID]
	if !known {
		return
	}
	if e.record.Info.Incarnation != msg.Incarnation || e.record.State == StateLeft {
		m.reply(msg, Message{Type: MessageGossip, Records: []Record{e.record.clone()}})
		return
	}
	m.reply(msg, m.detector.acknowledge(m.now, msg, &e.record))
	m.antiEntropy.compareDigest(msg)
}

// onHeartbeatReply counts an acknowledgement by the time at which its heartbeat was
// sent. Replies to heartbeats of an earlier incarnation don't count.
func (m *Machine) onHeartbeatReply(msg Message) {
	m.antiEntropy.compareDigest(msg)
	sentAt, found := m.heartbeats.sentAt(msg.Sequence)
	if !found || !m.monitors.knows(msg.From.ID) || msg.Incarnation != m.fence.number {
		return
	}
	m.monitors.acknowledge(msg, sentAt)
	m.fence.acknowledge(m.now, msg, sentAt)
}

// maintainMonitorsAfter reconsiders the monitors when a message may allow a change
// that is waited for.
func (m *Machine) maintainMonitorsAfter(msg Message) {
	waiting := len(m.fence.monitorSets) != 1 || m.fence.isFenced(m.now)
	if !m.fence.left && (waiting || msg.Type == MessageHeartbeatReply) {
		m.maintainMonitors()
	}
}

// maintainMonitors declares a monitor set, replaces it, or begins a new incarnation if the
// set can't be replaced in this one. A set is replaced only by one whose members all
// respond, and not before the replacement before it is complete.
func (m *Machine) maintainMonitors() {
	if !m.joiner.joined || len(m.fence.monitorSets) > 1 {
		return
	}
	if m.table.selfRecord().certainlyFenced() {
		m.startNextIncarnation(m.fence.number + 1)
	}
	if m.shouldDeferChoice() {
		return
	}
	chosen := m.monitors.choose(m.now)
	if added := m.monitors.target(m.now, chosen, m.fence.monitorSets); added {
		m.nextHeartbeat = m.now
	}
	ready := m.monitors.allResponsive(m.now, chosen)
	switch {
	case len(m.fence.monitorSets) == 0:
		if ready || m.now-m.fence.searchStartedAt >= m.config.unresponsiveAfter() {
			m.declareMonitors(chosen)
		}
	case !ready || !m.monitors.needsReplacement(m.fence.newestSet(), chosen):
		return
	case m.fence.isFenced(m.now):
		// The declared set can't be replaced without its majority.
		m.startNextIncarnation(m.fence.number + 1)
	default:
		m.declareMonitors(chosen)
	}
}

// shouldDeferChoice tells whether the choice of monitors had better wait until the
// table is stable: each new member may take another's place on the ring, and each new
// set is an update to all. A set that may fail is replaced at once.
func (m *Machine) shouldDeferChoice() bool {
	if m.isTableStable() {
		return false
	}
	if len(m.fence.monitorSets) == 0 {
		return m.now-m.fence.searchStartedAt < m.config.monitorChoiceTimeout()
	}
	return !m.fence.isFenced(m.now) && m.monitors.isHealthy(m.now, m.fence.newestSet())
}

// declareMonitors makes the chosen members the newest set of this incarnation.
func (m *Machine) declareMonitors(chosen []member.ID) {
	replaces := len(m.fence.monitorSets) > 0
	m.fence.declare(m.now, m.monitors.newSet(m.now, chosen, replaces))
	m.publishSelfRecord()
	m.nextHeartbeat = m.now
}
