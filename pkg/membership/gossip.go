package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// A process that outlives an earlier one skips minIncarnationSkip incarnations, and up
// to incarnationSkipJitter more, drawn by its own start.
const (
	minIncarnationSkip    = 1 << 16
	incarnationSkipJitter = 1 << 32
)

// mergeMessage takes in the records of a message.
func (m *Machine) mergeMessage(msg Message) {
	for _, record := range msg.Records {
		m.merge(record)
	}
	if msg.Type == MessageJoinReply && !m.joined {
		// The seed's neighbours know the table already; only this node is new.
		clear(m.pendingUpdates)
		m.pendingUpdates[m.config.Self.ID] = true
	}
}

// merge joins one record into the table and notes what is news.
func (m *Machine) merge(record Record) {
	id := record.Info.ID
	if id == "" {
		return
	}
	if id == m.config.Self.ID && m.isSupersededBy(record) {
		m.skipIncarnationsPast(record.Info.Incarnation)
		return
	}
	if endedIncarnation, forgotten := m.forgotten[id]; forgotten && record.Info.Incarnation <= endedIncarnation {
		return
	}
	e, known := m.table[id]
	if !known {
		delete(m.forgotten, id)
		m.insert(mergeRecords(record, record))
		return
	}
	if len(record.TimeoutReports) == 0 && compareOwnerState(record, e.record) <= 0 {
		return
	}
	merged := mergeRecords(e.record, record)
	if equalRecords(merged, e.record) {
		return
	}
	m.updateMonitor(e, merged)
	if merged.Info.Incarnation != e.record.Info.Incarnation || leftRank(merged) != leftRank(e.record) {
		e.incarnationSince = m.now
	}
	e.record = merged
	m.updateDigest(e)
	e.seenFenced = e.seenFenced && merged.certainlyFenced()
	m.updateIndexes(id, e)
	m.pendingUpdates[id] = true
	m.changedAt = m.now
}

func (m *Machine) insert(record Record) {
	id := record.Info.ID
	e := &entry{record: record, key: memberKey(id), monitor: memberMonitor{lastHeard: m.now}, incarnationSince: m.now}
	m.table[id] = e
	m.updateDigest(e)
	m.updateIndexes(id, e)
	at, _ := slices.BinarySearch(m.sortedIDs, id)
	m.sortedIDs = slices.Insert(m.sortedIDs, at, id)
	if id != m.config.Self.ID {
		m.ring.insert(id)
	}
	m.pendingUpdates[id] = true
	m.changedAt = m.now
	m.grownAt = m.now
}

func (m *Machine) remove(id member.ID) {
	m.removeFromDigest(m.table[id])
	delete(m.table, id)
	m.removeFromIndexes(id)
	at, _ := slices.BinarySearch(m.sortedIDs, id)
	m.sortedIDs = slices.Delete(m.sortedIDs, at, at+1)
	m.ring.remove(id)
}

// isSupersededBy tells whether the table speaks of a life of this node that this
// process does not know of, such as one that an earlier process began.
func (m *Machine) isSupersededBy(record Record) bool {
	if record.Info.Incarnation != m.incarnation.number {
		return record.Info.Incarnation > m.incarnation.number
	}
	return record.Version > m.incarnation.recordVersion
}

// skipIncarnationsPast begins a life after the given one, and far enough after it not to meet
// lives of the earlier process that nobody here has heard of. Should two processes run under one
// ID, they outbid each other no faster than once in FenceAfter.
func (m *Machine) skipIncarnationsPast(incarnation member.Incarnation) {
	if m.incarnation.left || m.now < m.nextIncarnationSkip {
		return
	}
	m.nextIncarnationSkip = m.now + m.config.FenceAfter
	step := minIncarnationSkip + m.random.Uint64N(incarnationSkipJitter)
	m.startNextIncarnation(incarnation + member.Incarnation(step))
}

// updateMonitor starts the timer anew for each new life and each new set, since
// this node learnt of it only now.
func (m *Machine) updateMonitor(e *entry, merged Record) {
	if merged.Info.Incarnation != e.record.Info.Incarnation {
		e.monitor = memberMonitor{lastHeard: m.now}
		return
	}
	if merged.MonitorSetVersion != e.record.MonitorSetVersion {
		e.monitor.lastHeard = m.now
	}
}

// probe sends a digest to any member, to one in turn of those whose life is over,
// and asks a seed on which no live member listens: so that two halves of a split,
// or members that all began anew at once, are found again.
func (m *Machine) probe() {
	if id := m.randomMember(); id != "" {
		m.send(id, Message{Type: MessageGossip})
	}
	if id := m.nextFenced(); id != "" {
		m.send(id, Message{Type: MessageGossip})
	}
	seeds := m.vacantSeeds()
	if len(seeds) > 0 {
		m.contactSeed(seeds[m.random.IntN(len(seeds))])
	}
}

// randomMember draws a member that hasn't left, or returns "" if there is none.
func (m *Machine) randomMember() member.ID {
	first := m.random.IntN(len(m.sortedIDs))
	for offset := range m.sortedIDs {
		id := m.sortedIDs[(first+offset)%len(m.sortedIDs)]
		if id != m.config.Self.ID && m.table[id].record.State != StateLeft {
			return id
		}
	}
	return ""
}

// nextFenced returns the members that are certainly fenced and haven't left, one
// call after the other, or "" if there is none. A fenced member that begins anew
// may know nobody but others that began anew with it.
func (m *Machine) nextFenced() member.ID {
	for range m.fencedMembers {
		m.nextFencedProbe++
		id := m.fencedMembers[m.nextFencedProbe%len(m.fencedMembers)]
		if id != m.config.Self.ID && m.table[id].record.State != StateLeft {
			return id
		}
	}
	return ""
}

// send addresses msg to a member of the table.
func (m *Machine) send(id member.ID, msg Message) {
	e, known := m.table[id]
	if !known {
		return
	}
	m.outbox = append(m.outbox, Outbound{To: id, Address: e.record.Info.Address, Message: m.withSender(msg)})
}

// reply addresses msg to the sender of received, which may be a stranger.
func (m *Machine) reply(received Message, msg Message) {
	address := received.From.Address
	if e, known := m.table[received.From.ID]; known && address == "" {
		address = e.record.Info.Address
	}
	m.outbox = append(m.outbox, Outbound{
		To:      received.From.ID,
		Address: address,
		Message: m.withSender(msg),
	})
}

func (m *Machine) withSender(msg Message) Message {
	msg.From = m.selfRecord().Info
	if msg.omitsSenderInfo() {
		msg.From = member.Info{ID: msg.From.ID}
	}
	if msg.Type != MessageHeartbeatReply {
		msg.Incarnation = m.incarnation.number
	}
	msg.Boot = m.boot
	msg.Digest = m.digest
	return msg
}

// equalRecords compares what the digest covers, plus addresses.
func equalRecords(a, b Record) bool {
	return a.Info == b.Info &&
		a.Version == b.Version &&
		leftRank(a) == leftRank(b) &&
		slices.Equal(a.TimeoutReports, b.TimeoutReports)
}

// recordDigest is one record's part of the digest, which is their sum and so
// doesn't depend on order.
func recordDigest(r Record) uint64 {
	hash := xxhash.New()
	writeString(hash, string(r.Info.ID))
	writeNumber(hash, uint64(r.Info.Incarnation))
	writeNumber(hash, r.Version)
	writeNumber(hash, uint64(leftRank(r)))
	reports := slices.SortedFunc(slices.Values(r.TimeoutReports), compareTimeoutReports)
	for _, report := range reports {
		writeString(hash, string(report.Monitor))
		writeNumber(hash, uint64(report.MonitorBoot))
		writeNumber(hash, uint64(report.Incarnation))
		writeNumber(hash, report.MonitorSetVersion)
	}
	return hash.Sum64()
}

func writeString(hash *xxhash.Digest, text string) {
	writeNumber(hash, uint64(len(text)))
	// xxhash never returns an error.
	_, _ = hash.WriteString(text)
}

func writeNumber(hash *xxhash.Digest, number uint64) {
	var bytes [8]byte
	for i := range bytes {
		bytes[i] = byte(number >> (8 * i))
	}
	_, _ = hash.Write(bytes[:])
}
