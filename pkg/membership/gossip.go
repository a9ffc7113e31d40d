package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// A process that outlives an earlier one skips outliveStep incarnations, and up
// to outliveSpread more, drawn by its own start.
const (
	outliveStep   = 1 << 16
	outliveSpread = 1 << 32
)

// mergeAll takes in the records of a message.
func (m *Machine) mergeAll(msg Message) {
	for _, record := range msg.Records {
		m.merge(record)
	}
	if msg.Type == MessageJoinReply && !m.joined {
		// The seed's neighbours know the table already; only this node is new.
		clear(m.news)
		m.news[m.config.Self.ID] = true
	}
}

// merge joins one record into the table and notes what is news.
func (m *Machine) merge(record Record) {
	id := record.Info.ID
	if id == "" {
		return
	}
	if id == m.config.Self.ID && m.outlivedBy(record) {
		m.outlive(record.Info.Incarnation)
		return
	}
	if over, forgotten := m.ended[id]; forgotten && record.Info.Incarnation <= over {
		return
	}
	e, known := m.table[id]
	if !known {
		delete(m.ended, id)
		m.insert(mergeRecords(record, record))
		return
	}
	if len(record.Silences) == 0 && compareOwnerPart(record, e.record) <= 0 {
		return
	}
	merged := mergeRecords(e.record, record)
	if equalRecords(merged, e.record) {
		return
	}
	m.updateWatch(e, merged)
	if merged.Info.Incarnation != e.record.Info.Incarnation || leftRank(merged) != leftRank(e.record) {
		e.lifeSince = m.now
	}
	e.record = merged
	m.account(e)
	e.over = e.over && merged.certainlyFenced()
	m.file(id, e)
	m.news[id] = true
	m.changed = m.now
}

func (m *Machine) insert(record Record) {
	id := record.Info.ID
	e := &entry{record: record, key: memberKey(id), watch: watch{heard: m.now}, lifeSince: m.now}
	m.table[id] = e
	m.account(e)
	m.file(id, e)
	at, _ := slices.BinarySearch(m.order, id)
	m.order = slices.Insert(m.order, at, id)
	if id != m.config.Self.ID {
		m.ring.insert(id)
	}
	m.news[id] = true
	m.changed = m.now
	m.grown = m.now
}

func (m *Machine) remove(id member.ID) {
	m.unaccount(m.table[id])
	delete(m.table, id)
	m.unfile(id)
	at, _ := slices.BinarySearch(m.order, id)
	m.order = slices.Delete(m.order, at, at+1)
	m.ring.remove(id)
}

// outlivedBy tells whether the table speaks of a life of this node that this
// process does not know of, such as one that an earlier process began.
func (m *Machine) outlivedBy(record Record) bool {
	if record.Info.Incarnation != m.life.incarnation {
		return record.Info.Incarnation > m.life.incarnation
	}
	return record.Version > m.life.version
}

// outlive begins a life after the given one, and far enough after it not to meet
// lives of the earlier process that nobody here has heard of. Should two processes run under one
// ID, they outbid each other no faster than once in FenceAfter.
func (m *Machine) outlive(incarnation member.Incarnation) {
	if m.life.left || m.now < m.nextOutlive {
		return
	}
	m.nextOutlive = m.now + m.config.FenceAfter
	step := outliveStep + m.random.Uint64N(outliveSpread)
	m.nextLife(incarnation + member.Incarnation(step))
}

// updateWatch starts the timer anew for each new life and each new set, since
// this node learnt of it only now.
func (m *Machine) updateWatch(e *entry, merged Record) {
	if merged.Info.Incarnation != e.record.Info.Incarnation {
		e.watch = watch{heard: m.now}
		return
	}
	if merged.MonitorSetVersion != e.record.MonitorSetVersion {
		e.watch.heard = m.now
	}
}

// probe sends a digest to any member, to one in turn of those whose life is over,
// and asks a seed on which no live member listens: so that two halves of a split,
// or members that all began anew at once, are found again.
func (m *Machine) probe() {
	if id := m.anyOther(); id != "" {
		m.send(id, Message{Type: MessageGossip})
	}
	if id := m.nextFenced(); id != "" {
		m.send(id, Message{Type: MessageGossip})
	}
	seeds := m.unknownSeeds()
	if len(seeds) > 0 {
		m.askSeed(seeds[m.random.IntN(len(seeds))])
	}
}

// anyOther draws a member that hasn't left, or returns "" if there is none.
func (m *Machine) anyOther() member.ID {
	first := m.random.IntN(len(m.order))
	for offset := range m.order {
		id := m.order[(first+offset)%len(m.order)]
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
	for range m.fenced {
		m.fencedTurn++
		id := m.fenced[m.fencedTurn%len(m.fenced)]
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
	m.outbox = append(m.outbox, Outbound{To: id, Address: e.record.Info.Address, Message: m.signed(msg)})
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
		Message: m.signed(msg),
	})
}

func (m *Machine) signed(msg Message) Message {
	msg.From = m.selfRecord().Info
	if msg.isBrief() {
		msg.From = member.Info{ID: msg.From.ID}
	}
	if msg.Type != MessageHeartbeatReply {
		msg.Incarnation = m.life.incarnation
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
		slices.Equal(a.Silences, b.Silences)
}

// recordDigest is one record's part of the digest, which is their sum and so
// doesn't depend on order.
func recordDigest(r Record) uint64 {
	hash := xxhash.New()
	writeString(hash, string(r.Info.ID))
	writeNumber(hash, uint64(r.Info.Incarnation))
	writeNumber(hash, r.Version)
	writeNumber(hash, uint64(leftRank(r)))
	silences := slices.SortedFunc(slices.Values(r.Silences), compareSilences)
	for _, silence := range silences {
		writeString(hash, string(silence.Monitor))
		writeNumber(hash, uint64(silence.MonitorBoot))
		writeNumber(hash, uint64(silence.Incarnation))
		writeNumber(hash, silence.MonitorSetVersion)
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
