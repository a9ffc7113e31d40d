package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// News goes out newsPerHeartbeat times in HeartbeatEvery at most, newsBatch
// records at a time, so that a fleet that loses much at once sends few messages of
// many records.
const (
	newsPerHeartbeat = 4
	newsBatch        = 128
)

// flush sends the news to some members, unless some went out a moment ago, and
// returns all that is to be sent.
func (m *Machine) flush() []Outbound {
	if len(m.news) > 0 && (m.now >= m.nextNews || m.life.left) {
		m.spreadNews()
	}
	outbox := m.outbox
	m.outbox = nil
	return outbox
}

func (m *Machine) spreadNews() {
	m.nextNews = m.now + m.config.HeartbeatEvery/newsPerHeartbeat
	ids := m.takeNews()
	if len(ids) == 0 {
		return
	}
	own := slices.ContainsFunc(ids, m.isOwnNews)
	var records []Record
	for _, id := range ids {
		records = append(records, m.table[id].record.clone())
	}
	for _, id := range m.newsReceivers(own) {
		m.send(id, Message{Type: MessageGossip, Records: records})
	}
}

// isOwnNews tells whether this node is the first to know of a record's change: it is
// its own, or this node reports the member silent.
func (m *Machine) isOwnNews(id member.ID) bool {
	return id == m.config.Self.ID || slices.ContainsFunc(m.table[id].record.Silences, func(silence Silence) bool {
		return silence.Monitor == m.config.Self.ID && silence.MonitorBoot == m.boot
	})
}

// takeNews returns the members whose records are to be sent now, this node's own
// before all others, and leaves those beyond a batch for later. If very many have
// changed, those that no monitor reports silent are left to exchanges: passed on by
// each of n nodes to some others, n changes would cost several tables a node.
func (m *Machine) takeNews() []member.ID {
	ids := slices.Sorted(maps.Keys(m.news))
	ids = slices.DeleteFunc(ids, func(id member.ID) bool { return m.table[id] == nil })
	urgent := slices.DeleteFunc(slices.Clone(ids), func(id member.ID) bool { return !m.isUrgent(id) })
	m.noteChanges(len(ids) - len(urgent))
	if m.inBulk() {
		ids = urgent
	}
	if len(ids) <= newsBatch {
		clear(m.news)
		return ids
	}
	m.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	if self := slices.Index(ids, m.config.Self.ID); self >= newsBatch {
		ids[0], ids[self] = ids[self], ids[0]
	}
	ids = ids[:newsBatch]
	for _, id := range ids {
		delete(m.news, id)
	}
	return ids
}

// noteChanges counts the records of others that change within HeartbeatEvery.
func (m *Machine) noteChanges(count int) {
	if m.now-m.changesSince >= m.config.HeartbeatEvery {
		m.changesSince = m.now
		m.changes = 0
	}
	m.changes += count
	if m.changes > bulkNews {
		m.bulkUntil = m.now + m.config.FenceAfter
	}
}

// isUrgent tells whether a record is passed on however much else changes.
func (m *Machine) isUrgent(id member.ID) bool {
	record := &m.table[id].record
	return id == m.config.Self.ID || record.State == StateLeft || len(record.Silences) > 0
}

func (m *Machine) inBulk() bool { return m.now < m.bulkUntil }

// newsReceivers draws the members that news is passed to: some of this node's zone,
// and, so that each zone gets it from a few, now and then others.
func (m *Machine) newsReceivers(own bool) []member.ID {
	near, far, zones := m.liveByZone()
	across := crossFanOut
	if !own {
		across = m.forwardsAcross(zones)
	}
	return slices.Concat(near[:min(zoneFanOut, len(near))], far[:min(across, len(far))])
}

// forwardsAcross draws how many members of other zones this node passes on to what
// others told it. All nodes together make about crossings for each zone.
func (m *Machine) forwardsAcross(zones int) int {
	expected := float64(crossings*zones) / float64(len(m.order))
	whole := int(expected)
	if m.random.Float64() < expected-float64(whole) {
		whole++
	}
	return min(whole, crossFanOut)
}

// liveByZone returns the other members that may live, of this node's zone and of
// other zones, each in an order drawn at random, and the number of zones.
func (m *Machine) liveByZone() (near, far []member.ID, zones int) {
	seen := map[string]bool{}
	for _, id := range m.order {
		record := &m.table[id].record
		seen[record.Info.Zone] = true
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
	return near, far, len(seen)
}

// exchangeEvery is the least time between two exchanges that this node starts.
func (m *Machine) exchangeEvery() time.Duration {
	return m.config.HeartbeatEvery/exchangesPerHeartbeat + time.Duration(len(m.order))*exchangePerRecord
}
