package listing

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// publish puts this node's own reading in force and passes it on.
func (m *Machine) publish(startedAt time.Duration, replicas []Replica) {
	version := Version{Term: m.held.version.Term, Reader: m.config.Self, Sequence: m.held.version.Sequence + 1}
	if !m.reader || m.held.version.Reader != m.config.Self {
		version = Version{Term: m.held.version.Term + 1, Reader: m.config.Self, Sequence: 1}
	}
	before := m.held
	m.reader = true
	m.held = held{
		present:      true,
		version:      version,
		readAt:       startedAt,
		readerReadAt: startedAt,
		heardAt:      m.now,
		replicas:     m.steady(before, sorted(inMilliseconds(replicas))),
	}
	m.held.digest = digestOf(m.held.replicas)
	m.requests = 0
	m.prove(startedAt)
	clear(m.waiting)
	m.use(m.held.replicas)
	m.spread(before)
}

// inMilliseconds rounds times to what travels.
func inMilliseconds(replicas []Replica) []Replica {
	rounded := slices.Clone(replicas)
	for position := range rounded {
		rounded[position].ColdUntil = rounded[position].ColdUntil.Truncate(time.Millisecond)
	}
	return rounded
}

// steady keeps the end of a cold spell that an earlier reading of this node told,
// so that a list in which nothing happened is the same list.
func (m *Machine) steady(before held, replicas []Replica) []Replica {
	if before.version.Reader != m.config.Self {
		return replicas
	}
	known := byKey(before.replicas)
	for position, replica := range replicas {
		earlier, found := known[replica.key()]
		same := found && earlier.Instance == replica.Instance && earlier.ColdUntil > 0 && replica.ColdUntil > 0
		if same && (replica.ColdUntil-earlier.ColdUntil).Abs() < coldJitter {
			replicas[position].ColdUntil = earlier.ColdUntil
		}
	}
	return replicas
}

// spread sends the newest reading to all members: to each one of this zone, and to
// one of every other zone, which passes it on.
func (m *Machine) spread(before held) {
	list := m.changesSince(before)
	sent := map[member.ID]struct{}{m.config.Self: {}}
	for _, one := range m.members {
		if one.Zone == m.config.Zone || m.asksDirectly(one.ID) {
			m.sendOnce(sent, one.ID, list, false)
		}
	}
	for _, zone := range m.otherZones() {
		m.sendOnce(sent, m.firstOfZone(zone), list, true)
	}
}

// changesSince is the newest reading as changes to an earlier one, or as a whole if
// that is no longer.
func (m *Machine) changesSince(before held) List {
	list := m.wholeList()
	if !before.present {
		return list
	}
	changes := changesBetween(before.replicas, m.held.replicas)
	if len(changes) < len(m.held.replicas) || len(changes) == 0 {
		list.Base = before.digest
		list.Changes = changes
	}
	return list
}

// wholeList is the newest reading with all replicas.
func (m *Machine) wholeList() List {
	list := m.freshList()
	list.Base = 0
	list.Changes = changesBetween(nil, m.held.replicas)
	return list
}

// freshList tells those who have the same list when it was read.
func (m *Machine) freshList() List {
	return List{
		Version: m.held.version,
		Age:     max(0, m.now-m.held.readAt),
		ReadAt:  m.held.readerReadAt,
		Digest:  m.held.digest,
		Base:    m.held.digest,
	}
}

// sendOnce sends a list to a member that has not got it.
func (m *Machine) sendOnce(sent map[member.ID]struct{}, to member.ID, list List, forward bool) {
	if _, done := sent[to]; done {
		return
	}
	sent[to] = struct{}{}
	list.Forward = forward
	m.send(to, Message{List: &list})
}

func (m *Machine) send(to member.ID, message Message) {
	m.output.Sends = append(m.output.Sends, Outbound{To: to, Message: message})
}

// asksDirectly tells whether a member had to ask this node lately.
func (m *Machine) asksDirectly(id member.ID) bool {
	askedAt, asked := m.askedAt[id]
	return asked && m.now-askedAt < directFor
}

// otherZones are the zones of the members that are not in this node's, sorted.
func (m *Machine) otherZones() []string {
	var zones []string
	for _, one := range m.members {
		if one.Zone != m.config.Zone {
			zones = append(zones, one.Zone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// firstOfZone is the member of a zone that passes readings on there.
func (m *Machine) firstOfZone(zone string) member.ID {
	for _, one := range m.members {
		if one.Zone == zone {
			return one.ID
		}
	}
	return ""
}
