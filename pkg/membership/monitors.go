package membership

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// retryUnresponsiveFences is for how many FenceAfter periods a node that left
// heartbeats unanswered isn't tried again as a monitor.
const retryUnresponsiveFences = 5

// peer is what this node knows of a node that it sends heartbeats to.
type peer struct {
	// targeted tells whether heartbeats go to the peer now, and since when.
	targeted bool
	since    time.Duration
	// answered tells whether contact holds the send time of a heartbeat of
	// this life that the peer acknowledged.
	answered bool
	contact  time.Duration
	boot     member.Incarnation
	// silencedVersion is the newest set version of this life that the peer
	// reported silent.
	silencedVersion uint64
	// setVersion is the set version of this life that the peer's newest reply
	// stated.
	setVersion uint64
	avoidUntil time.Duration
}

// restart forgets what the peer said of an earlier life. A peer that seems
// lost is not waited for again.
func (p *peer) restart(now, unresponsiveAfter, avoidUntil time.Duration) {
	if p.targeted && now-p.lastSign() >= unresponsiveAfter {
		p.targeted = false
		p.avoidUntil = avoidUntil
	}
	p.since = now
	p.answered = false
	p.contact = 0
	p.silencedVersion = 0
	p.setVersion = 0
}

func (p *peer) lastSign() time.Duration {
	if p.answered {
		return max(p.since, p.contact)
	}
	return p.since
}

// maintainAfter looks at the monitors anew when a message may allow a change
// that is waited for.
func (m *Machine) maintainAfter(msg Message) {
	waiting := len(m.life.sets) != 1 || m.Fenced(m.now)
	if !m.life.left && (waiting || msg.Type == MessageHeartbeatReply) {
		m.maintainMonitors()
	}
}

// maintainMonitors declares a set, replaces it, or begins a new life that can.
func (m *Machine) maintainMonitors() {
	if !m.joined || len(m.life.sets) > 1 {
		return
	}
	if m.selfRecord().certainlyFenced() {
		m.nextLife(m.life.incarnation + 1)
	}
	if m.mayWaitToChoose() {
		return
	}
	wanted := m.wantedMonitors()
	m.target(wanted)
	ready := m.allAnswer(wanted)
	switch {
	case len(m.life.sets) == 0:
		if ready || m.now-m.life.beganAt >= m.config.unresponsiveAfter() {
			m.declare(wanted)
		}
	case !ready || !m.shouldReplace(wanted):
		return
	case m.Fenced(m.now):
		// The declared set can't be replaced without its majority.
		m.nextLife(m.life.incarnation + 1)
	default:
		m.declare(wanted)
	}
}

// mayWaitToChoose tells whether the choice of monitors had better wait until no more
// members are new to the table: each of them may take another's place on the ring, and
// each new set is news to all. A set that may not hold is replaced at once.
func (m *Machine) mayWaitToChoose() bool {
	if m.settled() {
		return false
	}
	if len(m.life.sets) == 0 {
		return m.now-m.life.beganAt < m.config.choosePatience()
	}
	return !m.Fenced(m.now) && m.holdsGood(m.newestSet())
}

// holdsGood tells whether all monitors of a set answer and count.
func (m *Machine) holdsGood(set *monitorSet) bool {
	for i, id := range set.monitors {
		e, known := m.table[id]
		if !known || e.record.certainlyFenced() || !m.responsive(&e.record) || m.lostPromise(set, i) {
			return false
		}
	}
	return !m.selfRecord().doubted()
}

// lostPromise tells whether acknowledgements of a set's monitor no longer count: it
// runs as another process, or reported the set silent.
func (m *Machine) lostPromise(set *monitorSet, position int) bool {
	p := m.peers[set.monitors[position]]
	return p.boot != set.boots[position] || p.silencedVersion >= set.version
}

// wantedMonitors chooses among the members that answer, and takes others only
// if there are too few: a node that nobody answers must stay fenced.
func (m *Machine) wantedMonitors() []member.ID {
	count := m.config.MonitorCount
	answering := monitorChoice{count: count}
	others := monitorChoice{count: count}
	for _, place := range m.ring.successors {
		record := &m.table[place.id].record
		switch {
		case record.certainlyFenced():
			continue
		case m.responsive(record):
			answering.offer(record.Info)
		default:
			others.offer(record.Info)
		}
		if answering.complete() {
			break
		}
	}
	wanted := answering.chosen(count)
	wanted = append(wanted, others.chosen(count-len(wanted))...)
	slices.Sort(wanted)
	return wanted
}

// responsive tells whether a member answers heartbeats, or has not yet had the
// time to.
func (m *Machine) responsive(record *Record) bool {
	p, known := m.peers[record.Info.ID]
	if !known || !p.targeted {
		avoid := known && m.now < p.avoidUntil
		return record.seemsReachable() && !avoid
	}
	if m.now-p.lastSign() < m.config.unresponsiveAfter() {
		return true
	}
	if m.now >= p.avoidUntil {
		p.avoidUntil = m.avoidUntil()
	}
	return false
}

func (m *Machine) avoidUntil() time.Duration {
	return m.now + retryUnresponsiveFences*m.config.FenceAfter
}

// target directs heartbeats to the monitors of all sets and to those wanted.
func (m *Machine) target(wanted []member.ID) {
	targets := slices.Clone(wanted)
	for _, set := range m.life.sets {
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
	p.since = m.now
	p.answered = false
	m.nextHeartbeat = m.now
}

// allAnswer tells whether each of the wanted monitors answered lately.
func (m *Machine) allAnswer(wanted []member.ID) bool {
	for _, id := range wanted {
		p := m.peers[id]
		if !p.answered || m.now-p.contact >= m.config.unresponsiveAfter() {
			return false
		}
	}
	return true
}

// shouldReplace tells whether the declared set differs from the wanted one, or
// holds a monitor whose acknowledgements no longer count.
func (m *Machine) shouldReplace(wanted []member.ID) bool {
	set := m.newestSet()
	if !slices.Equal(set.monitors, wanted) {
		return true
	}
	for position := range set.monitors {
		if m.lostPromise(set, position) {
			return true
		}
	}
	return m.selfRecord().doubted()
}
