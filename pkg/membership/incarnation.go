package membership

import (
	"math"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// noContact is the contact time of a monitor that has acknowledged nothing. It
// leaves room for additions without overflow.
const noContact = time.Duration(math.MinInt64 / 2)

// incarnation is one incarnation of this node: it begins fenced, serves once, and is
// over for good when it is fenced again.
type localIncarnation struct {
	number member.Incarnation
	// firstSequence is the first heartbeat of this life.
	firstSequence uint64
	startedAt     time.Duration
	// recordVersion numbers this life's records.
	recordVersion uint64
	// monitorSets are the monitor sets that may still fence this life, oldest first.
	// There are two while one replaces the other.
	monitorSets []monitorSet
	// fenceDeadline is the fence deadline that the sets amount to.
	fenceDeadline time.Duration
	// served tells whether this life was ever unfenced.
	served bool
	left   bool
}

// monitorSet is one declared choice of monitors.
type monitorSet struct {
	version  uint64
	monitors []member.ID
	boots    []member.Incarnation
	// lastContacts is when the newest heartbeat that the monitor acknowledged was
	// sent.
	lastContacts []time.Duration
	// movedOn marks monitors that know a later set and never reported this one
	// silent, so that they never will.
	movedOn []bool
}

// fenceDeadline is when too few monitors have a contact within fenceAfter.
func (s *monitorSet) deadline(fenceAfter time.Duration) time.Duration {
	needed := acksNeeded(len(s.monitors))
	if needed == 0 {
		return Never
	}
	contacts := slices.Sorted(slices.Values(s.lastContacts))
	return contacts[len(contacts)-needed] + fenceAfter
}

// retired tells whether so many monitors moved on that this set can't become
// certainly fenced any more.
func (s *monitorSet) retired() bool {
	moved := 0
	for _, m := range s.movedOn {
		if m {
			moved++
		}
	}
	return moved >= acksNeeded(len(s.monitors))
}

// acknowledge takes in the reply of a process of a monitor to a heartbeat that
// was sent at heartbeatSentAt.
func (s *monitorSet) acknowledge(reply Message, sentAt time.Duration) {
	at := slices.Index(s.monitors, reply.From.ID)
	if at < 0 || s.boots[at] != reply.Boot || reply.TimedOutVersion >= s.version {
		return
	}
	s.lastContacts[at] = max(s.lastContacts[at], sentAt)
	if reply.MonitorSetVersion > s.version {
		s.movedOn[at] = true
	}
}

// Fenced tells whether this node must refuse traffic at now. After the node
// has been fenced, FenceCount has grown before Fenced is false again.
func (m *Machine) Fenced(now time.Duration) bool {
	return now >= m.FenceDeadline()
}

// FenceDeadline returns the instant at which Fenced becomes true unless more
// acknowledgements come; Never if nothing can fence this node.
func (m *Machine) FenceDeadline() time.Duration {
	return m.incarnation.fenceDeadline
}

// FenceCount returns how many lives of this process are over. A node may serve
// again only after it registered its present incarnation and learnt the
// current revision, each time that the count grows.
func (m *Machine) FenceCount() uint64 {
	return m.fenceCount
}

// endFencedIncarnation begins a new life once the present one has been fenced. The
// old one may be counted as fenced by others, so it must never serve again.
func (m *Machine) endFencedIncarnation() {
	if m.incarnation.left {
		return
	}
	if m.incarnation.served && m.Fenced(m.now) {
		m.startNextIncarnation(m.incarnation.number + 1)
	}
}

func (m *Machine) startNextIncarnation(incarnation member.Incarnation) {
	m.fenceCount++
	m.startIncarnation(incarnation)
	m.nextHeartbeat = m.now
}

// startIncarnation starts a fenced life without monitors.
func (m *Machine) startIncarnation(incarnation member.Incarnation) {
	m.incarnation = localIncarnation{number: incarnation, firstSequence: m.sequence + 1, startedAt: m.now}
	m.sentHeartbeats = nil
	for _, p := range m.peers {
		p.reset(m.now, m.config.unresponsiveAfter(), m.avoidUntil())
	}
	m.publishSelfRecord()
}

// declareMonitors makes monitors the newest set of this life.
func (m *Machine) declareMonitors(monitors []member.ID) {
	set := monitorSet{
		version:      1,
		monitors:     monitors,
		boots:        make([]member.Incarnation, len(monitors)),
		lastContacts: make([]time.Duration, len(monitors)),
		movedOn:      make([]bool, len(monitors)),
	}
	replaces := len(m.incarnation.monitorSets) > 0
	if replaces {
		set.version = m.newestMonitorSet().version + 1
	}
	for i, id := range monitors {
		set.lastContacts[i] = m.initialContact(id, replaces)
		if p, known := m.peers[id]; known {
			set.boots[i] = p.boot
		}
	}
	m.incarnation.monitorSets = append(m.incarnation.monitorSets, set)
	m.updateMonitorSets()
	m.publishSelfRecord()
	m.nextHeartbeat = m.now
}

// initialContact is the contact that a new set starts with. A monitor reports a
// silence FenceAfter+FenceMargin after it learnt of the set at the earliest,
// so a set that replaces another counts from its declaration.
func (m *Machine) initialContact(id member.ID, replaces bool) time.Duration {
	if replaces {
		return m.now
	}
	if p, known := m.peers[id]; known && p.acknowledged {
		return p.lastContact
	}
	return noContact
}

func (m *Machine) newestMonitorSet() *monitorSet {
	return &m.incarnation.monitorSets[len(m.incarnation.monitorSets)-1]
}

// updateMonitorSets drops the replaced sets that can't be certainly fenced any more,
// and derives the deadline: every set that is left must have its majority.
func (m *Machine) updateMonitorSets() {
	for len(m.incarnation.monitorSets) > 1 && m.incarnation.monitorSets[0].retired() {
		m.incarnation.monitorSets = m.incarnation.monitorSets[1:]
	}
	deadline := Never
	for i := range m.incarnation.monitorSets {
		deadline = min(deadline, m.incarnation.monitorSets[i].deadline(m.config.FenceAfter))
	}
	m.incarnation.fenceDeadline = max(deadline, 0)
	m.incarnation.served = m.incarnation.served || !m.Fenced(m.now)
}

// publishSelfRecord writes this node's own row and marks it as news.
func (m *Machine) publishSelfRecord() {
	m.incarnation.recordVersion++
	info := m.config.Self
	info.Incarnation = m.incarnation.number
	record := Record{Info: info, State: StateAlive, Version: m.incarnation.recordVersion}
	if m.incarnation.left {
		record.State = StateLeft
	}
	if len(m.incarnation.monitorSets) > 0 {
		set := m.newestMonitorSet()
		record.MonitorSetVersion = set.version
		record.Monitors = slices.Clone(set.monitors)
		record.MonitorBoots = slices.Clone(set.boots)
	}
	m.merge(record)
}
