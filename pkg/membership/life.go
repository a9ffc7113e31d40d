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

// life is one incarnation of this node: it begins fenced, serves once, and is
// over for good when it is fenced again.
type life struct {
	incarnation member.Incarnation
	// firstSequence is the first heartbeat of this life.
	firstSequence uint64
	beganAt       time.Duration
	// version numbers this life's records.
	version uint64
	// sets are the monitor sets that may still fence this life, oldest first.
	// There are two while one replaces the other.
	sets []monitorSet
	// deadline is the fence deadline that the sets amount to.
	deadline time.Duration
	// served tells whether this life was ever unfenced.
	served bool
	left   bool
}

// monitorSet is one declared choice of monitors.
type monitorSet struct {
	version  uint64
	monitors []member.ID
	boots    []member.Incarnation
	// contact is when the newest heartbeat that the monitor acknowledged was
	// sent.
	contact []time.Duration
	// moved marks monitors that know a later set and never reported this one
	// silent, so that they never will.
	moved []bool
}

// deadline is when too few monitors have a contact within fenceAfter.
func (s *monitorSet) deadline(fenceAfter time.Duration) time.Duration {
	needed := acksNeeded(len(s.monitors))
	if needed == 0 {
		return Never
	}
	contacts := slices.Sorted(slices.Values(s.contact))
	return contacts[len(contacts)-needed] + fenceAfter
}

// retired tells whether so many monitors moved on that this set can't become
// certainly fenced any more.
func (s *monitorSet) retired() bool {
	moved := 0
	for _, m := range s.moved {
		if m {
			moved++
		}
	}
	return moved >= acksNeeded(len(s.monitors))
}

// acknowledge takes in the reply of a process of a monitor to a heartbeat that
// was sent at sentAt.
func (s *monitorSet) acknowledge(reply Message, sentAt time.Duration) {
	at := slices.Index(s.monitors, reply.From.ID)
	if at < 0 || s.boots[at] != reply.Boot || reply.SilencedVersion >= s.version {
		return
	}
	s.contact[at] = max(s.contact[at], sentAt)
	if reply.MonitorSetVersion > s.version {
		s.moved[at] = true
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
	return m.life.deadline
}

// FenceCount returns how many lives of this process are over. A node may serve
// again only after it registered its present incarnation and learnt the
// current revision, each time that the count grows.
func (m *Machine) FenceCount() uint64 {
	return m.fenceCount
}

// endFencedLife begins a new life once the present one has been fenced. The
// old one may be counted as fenced by others, so it must never serve again.
func (m *Machine) endFencedLife() {
	if m.life.left {
		return
	}
	if m.life.served && m.Fenced(m.now) {
		m.nextLife(m.life.incarnation + 1)
	}
}

func (m *Machine) nextLife(incarnation member.Incarnation) {
	m.fenceCount++
	m.beginLife(incarnation)
	m.nextHeartbeat = m.now
}

// beginLife starts a fenced life without monitors.
func (m *Machine) beginLife(incarnation member.Incarnation) {
	m.life = life{incarnation: incarnation, firstSequence: m.sequence + 1, beganAt: m.now}
	m.sent = nil
	for _, p := range m.peers {
		p.restart(m.now, m.config.unresponsiveAfter(), m.avoidUntil())
	}
	m.publishSelf()
}

// declare makes monitors the newest set of this life.
func (m *Machine) declare(monitors []member.ID) {
	set := monitorSet{
		version:  1,
		monitors: monitors,
		boots:    make([]member.Incarnation, len(monitors)),
		contact:  make([]time.Duration, len(monitors)),
		moved:    make([]bool, len(monitors)),
	}
	replaces := len(m.life.sets) > 0
	if replaces {
		set.version = m.newestSet().version + 1
	}
	for i, id := range monitors {
		set.contact[i] = m.firstContact(id, replaces)
		if p, known := m.peers[id]; known {
			set.boots[i] = p.boot
		}
	}
	m.life.sets = append(m.life.sets, set)
	m.settleSets()
	m.publishSelf()
	m.nextHeartbeat = m.now
}

// firstContact is the contact that a new set starts with. A monitor reports a
// silence FenceAfter+FenceMargin after it learnt of the set at the earliest,
// so a set that replaces another counts from its declaration.
func (m *Machine) firstContact(id member.ID, replaces bool) time.Duration {
	if replaces {
		return m.now
	}
	if p, known := m.peers[id]; known && p.answered {
		return p.contact
	}
	return noContact
}

func (m *Machine) newestSet() *monitorSet {
	return &m.life.sets[len(m.life.sets)-1]
}

// settleSets drops the replaced sets that can't be certainly fenced any more,
// and derives the deadline: every set that is left must have its majority.
func (m *Machine) settleSets() {
	for len(m.life.sets) > 1 && m.life.sets[0].retired() {
		m.life.sets = m.life.sets[1:]
	}
	deadline := Never
	for i := range m.life.sets {
		deadline = min(deadline, m.life.sets[i].deadline(m.config.FenceAfter))
	}
	m.life.deadline = max(deadline, 0)
	m.life.served = m.life.served || !m.Fenced(m.now)
}

// publishSelf writes this node's own row and marks it as news.
func (m *Machine) publishSelf() {
	m.life.version++
	info := m.config.Self
	info.Incarnation = m.life.incarnation
	record := Record{Info: info, State: StateAlive, Version: m.life.version}
	if m.life.left {
		record.State = StateLeft
	}
	if len(m.life.sets) > 0 {
		set := m.newestSet()
		record.MonitorSetVersion = set.version
		record.Monitors = slices.Clone(set.monitors)
		record.MonitorBoots = slices.Clone(set.boots)
	}
	m.merge(record)
}
