package listing

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// publish puts this node's own reading in force and passes it on.
func (m *Machine) publish(startedAt time.Duration, replicas []Replica) {
	version := Version{Term: m.current.version.Term, Reader: m.config.Self, Sequence: m.current.version.Sequence + 1}
	if !m.reader.active || m.current.version.Reader != m.config.Self {
		version = Version{Term: m.current.version.Term + 1, Reader: m.config.Self, Sequence: 1}
	}
	before := m.current
	m.reader.succeed()
	m.current = storedReading{
		present:      true,
		version:      version,
		readAt:       startedAt,
		readerReadAt: startedAt,
		receivedAt:   m.now,
		replicas:     m.stabilizeWarmUp(before, sorted(inMilliseconds(replicas))),
	}
	m.current.digest = digestOf(m.current.replicas)
	m.requests = 0
	m.proof.prove(startedAt)
	clear(m.pendingRequests)
	m.use(m.current.replicas)
	m.disseminate(before)
}

// inMilliseconds rounds times to what travels.
func inMilliseconds(replicas []Replica) []Replica {
	rounded := slices.Clone(replicas)
	for position := range rounded {
		rounded[position].WarmingUntil = rounded[position].WarmingUntil.Truncate(time.Millisecond)
	}
	return rounded
}

// stabilizeWarmUp keeps the end of a warm-up that an earlier reading of this node gave,
// so that a list in which nothing happened is the same list.
func (m *Machine) stabilizeWarmUp(before storedReading, replicas []Replica) []Replica {
	if before.version.Reader != m.config.Self {
		return replicas
	}
	known := byKey(before.replicas)
	for position, replica := range replicas {
		earlier, found := known[replica.key()]
		same := found && earlier.Instance == replica.Instance && earlier.WarmingUntil > 0 && replica.WarmingUntil > 0
		if same && (replica.WarmingUntil-earlier.WarmingUntil).Abs() < warmUpJitter {
			replicas[position].WarmingUntil = earlier.WarmingUntil
		}
	}
	return replicas
}

// disseminate sends the newest reading to all members: to each one of this zone, and to
// one of every other zone, which passes it on.
func (m *Machine) disseminate(before storedReading) {
	reading := m.changesSince(before)
	sent := map[member.ID]struct{}{m.config.Self: {}}
	for _, one := range m.members {
		if one.Zone == m.config.Zone || m.requestsDirectly(one.ID) {
			m.sendOnce(sent, one.ID, reading, false)
		}
	}
	for _, zone := range m.otherZones() {
		m.sendOnce(sent, m.firstOfZone(zone), reading, true)
	}
}

// changesSince is the newest reading as changes to an earlier one, or as a whole if
// that is no longer.
func (m *Machine) changesSince(before storedReading) Reading {
	reading := m.fullReading()
	if !before.present {
		return reading
	}
	changes := changesBetween(before.replicas, m.current.replicas)
	if len(changes) < len(m.current.replicas) || len(changes) == 0 {
		reading.Base = before.digest
		reading.Changes = changes
	}
	return reading
}

// fullReading is the newest reading with all replicas.
func (m *Machine) fullReading() Reading {
	reading := m.unchangedReading()
	reading.Base = 0
	reading.Changes = changesBetween(nil, m.current.replicas)
	return reading
}

// unchangedReading tells those who have the same list when it was read.
func (m *Machine) unchangedReading() Reading {
	return Reading{
		Version: m.current.version,
		Age:     max(0, m.now-m.current.readAt),
		ReadAt:  m.current.readerReadAt,
		Digest:  m.current.digest,
		Base:    m.current.digest,
	}
}

// sendOnce sends a list to a member that has not got it.
func (m *Machine) sendOnce(sent map[member.ID]struct{}, to member.ID, reading Reading, forward bool) {
	if _, done := sent[to]; done {
		return
	}
	sent[to] = struct{}{}
	reading.Forward = forward
	m.send(to, Message{Reading: &reading})
}

func (m *Machine) send(to member.ID, message Message) {
	m.output.Sends = append(m.output.Sends, Outbound{To: to, Message: message})
}

// requestsDirectly reports whether a member had to ask this node lately.
func (m *Machine) requestsDirectly(id member.ID) bool {
	requestedAt, requested := m.requestedAt[id]
	return requested && m.now-requestedAt < directSendPeriod
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
