package membership

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// unresponsiveBackoffFences is for how many FenceAfter periods a node that left
// heartbeats unanswered isn't tried again as a monitor.
const unresponsiveBackoffFences = 5

// peer is what this node knows of a node that it sends heartbeats to.
type peer struct {
	// targeted tells whether heartbeats go to the peer now, and since when.
	targeted      bool
	targetedSince time.Duration
	// acknowledged tells whether contact holds the send time of a heartbeat of
	// this life that the peer acknowledged.
	acknowledged bool
	lastContact  time.Duration
	boot         member.Incarnation
	// timedOutVersion is the newest set version of this life that the peer
	// reported silent.
	timedOutVersion uint64
	// reportedSetVersion is the set version of this life that the peer's newest reply
	// stated.
	reportedSetVersion uint64
	avoidUntil         time.Duration
}

// reset forgets what the peer said of an earlier life. A peer that seems
// lost is not waited for again.
func (p *peer) reset(now, unresponsiveAfter, avoidUntil time.Duration) {
	if p.targeted && now-p.lastHeard() >= unresponsiveAfter {
		p.targeted = false
		p.avoidUntil = avoidUntil
	}
	p.targetedSince = now
	p.acknowledged = false
	p.lastContact = 0
	p.timedOutVersion = 0
	p.reportedSetVersion = 0
}

func (p *peer) lastHeard() time.Duration {
	if p.acknowledged {
		return max(p.targetedSince, p.lastContact)
	}
	return p.targetedSince
}

// maintainMonitorsAfter looks at the monitors anew when a message may allow a change
// that is waited for.
func (m *Machine) maintainMonitorsAfter(msg Message) {
	waiting := len(m.incarnation.monitorSets) != 1 || m.Fenced(m.now)
	if !m.incarnation.left && (waiting || msg.Type == MessageHeartbeatReply) {
		m.maintainMonitors()
	}
}

// maintainMonitors declares a set, replaces it, or begins a new life that can.
func (m *Machine) maintainMonitors() {
	if !m.joined || len(m.incarnation.monitorSets) > 1 {
		return
	}
	if m.selfRecord().certainlyFenced() {
		m.startNextIncarnation(m.incarnation.number + 1)
	}
	if m.shouldDeferChoice() {
		return
	}
	chosen := m.chooseMonitors()
	m.targetHeartbeats(chosen)
	ready := m.allResponsive(chosen)
	switch {
	case len(m.incarnation.monitorSets) == 0:
		if ready || m.now-m.incarnation.startedAt >= m.config.unresponsiveAfter() {
			m.declareMonitors(chosen)
		}
	case !ready || !m.needsReplacement(chosen):
		return
	case m.Fenced(m.now):
		// The declared set can't be replaced without its majority.
		m.startNextIncarnation(m.incarnation.number + 1)
	default:
		m.declareMonitors(chosen)
	}
}

// shouldDeferChoice tells whether the choice of monitors had better wait until no more
// members are new to the table: each of them may take another's place on the ring, and
// each new set is news to all. A set that may not hold is replaced at once.
func (m *Machine) shouldDeferChoice() bool {
	if m.isStable() {
		return false
	}
	if len(m.incarnation.monitorSets) == 0 {
		return m.now-m.incarnation.startedAt < m.config.monitorChoiceTimeout()
	}
	return !m.Fenced(m.now) && m.isHealthy(m.newestMonitorSet())
}

// isHealthy tells whether all monitors of a set answer and count.
func (m *Machine) isHealthy(set *monitorSet) bool {
	for i, id := range set.monitors {
		e, known := m.table[id]
		if !known || e.record.certainlyFenced() || !m.isResponsive(&e.record) || m.acknowledgementsVoid(set, i) {
			return false
		}
	}
	return !m.selfRecord().isSuspected()
}

// acknowledgementsVoid tells whether acknowledgements of a set's monitor no longer count: it
// runs as another process, or reported the set silent.
func (m *Machine) acknowledgementsVoid(set *monitorSet, position int) bool {
	p := m.peers[set.monitors[position]]
	return p.boot != set.boots[position] || p.timedOutVersion >= set.version
}

// chooseMonitors chooses among the members that answer, and takes others only
// if there are too few: a node that nobody answers must stay fenced.
func (m *Machine) chooseMonitors() []member.ID {
	count := m.config.MonitorCount
	responsive := monitorChoice{count: count}
	unresponsive := monitorChoice{count: count}
	for _, successor := range m.ring.successors {
		record := &m.table[successor.id].record
		switch {
		case record.certainlyFenced():
			continue
		case m.isResponsive(record):
			responsive.offer(record.Info)
		default:
			unresponsive.offer(record.Info)
		}
		if responsive.complete() {
			break
		}
	}
	chosen := responsive.chosen(count)
	chosen = append(chosen, unresponsive.chosen(count-len(chosen))...)
	slices.Sort(chosen)
	return chosen
}

// isResponsive tells whether a member answers heartbeats, or has not yet had the
// time to.
func (m *Machine) isResponsive(record *Record) bool {
	p, known := m.peers[record.Info.ID]
	if !known || !p.targeted {
		avoid := known && m.now < p.avoidUntil
		return record.seemsReachable() && !avoid
	}
	if m.now-p.lastHeard() < m.config.unresponsiveAfter() {
		return true
	}
	if m.now >= p.avoidUntil {
		p.avoidUntil = m.avoidUntil()
	}
	return false
}

func (m *Machine) avoidUntil() time.Duration {
	return m.now + unresponsiveBackoffFences*m.config.FenceAfter
}

// targetHeartbeats directs heartbeats to the monitors of all sets and to those wanted.
func (m *Machine) targetHeartbeats(chosen []member.ID) {
	targets := slices.Clone(chosen)
	for _, set := range m.incarnation.monitorSets {
		targets = append(targets, set.monitors...)
	}
	for id, p := range m.peers {
		if p.targeted && !slices.Contains(targets, id) {
			p.targeted = false
		}
	}
	for _, id := range targets {
		m.targetPeer(id)
	}
}

func (m *Machine) targetPeer(id member.ID) {
	p, known := m.peers[id]
	if !known {
		p = &peer{}
		m.peers[id] = p
	}
	if p.targeted {
		return
	}
	p.targeted = true
	p.targetedSince = m.now
	p.acknowledged = false
	m.nextHeartbeat = m.now
}

// allResponsive tells whether each of the wanted monitors answered lately.
func (m *Machine) allResponsive(chosen []member.ID) bool {
	for _, id := range chosen {
		p := m.peers[id]
		if !p.acknowledged || m.now-p.lastContact >= m.config.unresponsiveAfter() {
			return false
		}
	}
	return true
}

// needsReplacement tells whether the declared set differs from the wanted one, or
// holds a monitor whose acknowledgements no longer count.
func (m *Machine) needsReplacement(chosen []member.ID) bool {
	set := m.newestMonitorSet()
	if !slices.Equal(set.monitors, chosen) {
		return true
	}
	for position := range set.monitors {
		if m.acknowledgementsVoid(set, position) {
			return true
		}
	}
	return m.selfRecord().isSuspected()
}
