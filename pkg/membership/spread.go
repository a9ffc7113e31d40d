package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// News goes out gossipsPerHeartbeat times in HeartbeatEvery at most, maxGossipRecords
// records at a time, so that a fleet that loses much at once sends few messages of
// many records.
const (
	gossipsPerHeartbeat = 4
	maxGossipRecords    = 128
)

// flush sends the news to some members, unless some went out a moment ago, and
// returns all that is to be sent.
func (m *Machine) flush() []Outbound {
	if len(m.pendingUpdates) > 0 && (m.now >= m.nextGossip || m.incarnation.left) {
		m.sendGossip()
	}
	outbox := m.outbox
	m.outbox = nil
	return outbox
}

func (m *Machine) sendGossip() {
	m.nextGossip = m.now + m.config.HeartbeatEvery/gossipsPerHeartbeat
	ids := m.takePendingUpdates()
	if len(ids) == 0 {
		return
	}
	originated := slices.ContainsFunc(ids, m.originatedUpdate)
	var records []Record
	for _, id := range ids {
		records = append(records, m.table[id].record.clone())
	}
	for _, id := range m.gossipReceivers(originated) {
		m.send(id, Message{Type: MessageGossip, Records: records})
	}
}

// originatedUpdate tells whether this node is the first to know of a record's change: it is
// its own, or this node reports the member silent.
func (m *Machine) originatedUpdate(id member.ID) bool {
	return id == m.config.Self.ID || slices.ContainsFunc(m.table[id].record.TimeoutReports, func(report TimeoutReport) bool {
		return report.Monitor == m.config.Self.ID && report.MonitorBoot == m.boot
	})
}

// takePendingUpdates returns the members whose records are to be sent now, this node's own
// before all others, and leaves those beyond a batch for later. If very many have
// changed, those that no monitor reports silent are left to exchanges: passed on by
// each of n nodes to some others, n changes would cost several tables a node.
func (m *Machine) takePendingUpdates() []member.ID {
	ids := slices.Sorted(maps.Keys(m.pendingUpdates))
	ids = slices.DeleteFunc(ids, func(id member.ID) bool { return m.table[id] == nil })
	urgent := slices.DeleteFunc(slices.Clone(ids), func(id member.ID) bool { return !m.isUrgent(id) })
	m.countChanges(len(ids) - len(urgent))
	if m.inBulkChange() {
		ids = urgent
	}
	if len(ids) <= maxGossipRecords {
		clear(m.pendingUpdates)
		return ids
	}
	m.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	if self := slices.Index(ids, m.config.Self.ID); self >= maxGossipRecords {
		ids[0], ids[self] = ids[self], ids[0]
	}
	ids = ids[:maxGossipRecords]
	for _, id := range ids {
		delete(m.pendingUpdates, id)
	}
	return ids
}

// countChanges counts the records of others that change within HeartbeatEvery.
func (m *Machine) countChanges(count int) {
	if m.now-m.recentChangesSince >= m.config.HeartbeatEvery {
		m.recentChangesSince = m.now
		m.recentChanges = 0
	}
	m.recentChanges += count
	if m.recentChanges > bulkUpdateThreshold {
		m.bulkUntil = m.now + m.config.FenceAfter
	}
}

// isUrgent tells whether a record is passed on however much else changes.
func (m *Machine) isUrgent(id member.ID) bool {
	record := &m.table[id].record
	return id == m.config.Self.ID || record.State == StateLeft || len(record.TimeoutReports) > 0
}

func (m *Machine) inBulkChange() bool { return m.now < m.bulkUntil }

// gossipReceivers draws the members that news is passed to: some of this node's zone,
// and, so that each zone gets it from a few, now and then others.
func (m *Machine) gossipReceivers(originated bool) []member.ID {
	near, far, zones := m.shuffledLiveMembers()
	across := crossZoneFanOut
	if !originated {
		across = m.crossZoneForwards(zones)
	}
	return slices.Concat(near[:min(zoneFanOut, len(near))], far[:min(across, len(far))])
}

// crossZoneForwards draws how many members of other zones this node passes on to what
// others told it. All nodes together make about crossings for each zone.
func (m *Machine) crossZoneForwards(zones int) int {
	expected := float64(forwardsPerZone*zones) / float64(len(m.sortedIDs))
	count := int(expected)
	if m.random.Float64() < expected-float64(count) {
		count++
	}
	return min(count, crossZoneFanOut)
}

// shuffledLiveMembers returns the other members that may live, of this node's zone and of
// other zones, each in an order drawn at random, and the number of zones.
func (m *Machine) shuffledLiveMembers() (near, far []member.ID, zones int) {
	zoneSet := map[string]bool{}
	for _, id := range m.sortedIDs {
		record := &m.table[id].record
		zoneSet[record.Info.Zone] = true
		switch {
		case id == m.config.Self.ID || record.certainlyFenced():
		case record.Info.Zone == m.config.Self.Zone:
			near = append(near, id)
		default:
			far = append(far, id)
		}
	}
	for _, ids := range [][]member.ID{near, far} {
		m.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	}
	return near, far, len(zoneSet)
}

// exchangeInterval is the least time between two exchanges that this node starts.
func (m *Machine) exchangeInterval() time.Duration {
	return m.config.HeartbeatEvery/exchangesPerHeartbeat + time.Duration(len(m.sortedIDs))*exchangeIntervalPerRecord
}
