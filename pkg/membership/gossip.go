package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// A node starts a whole exchange at most exchangesPerHeartbeat times in
// HeartbeatEvery, and less often the more it would send.
const (
	exchangesPerHeartbeat = 4
	exchangePerRecord     = time.Millisecond
)

// News goes out newsPerHeartbeat times in HeartbeatEvery at most, newsBatch
// records at a time, so that a fleet that starts or loses much at once sends few
// messages of many records.
const (
	newsPerHeartbeat = 4
	newsBatch        = 128
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
	merged := mergeRecords(e.record, record)
	if equalRecords(merged, e.record) {
		return
	}
	m.updateWatch(e, merged)
	if merged.Info.Incarnation != e.record.Info.Incarnation || leftRank(merged) != leftRank(e.record) {
		e.lifeSince = m.now
	}
	m.digest += recordDigest(merged) - recordDigest(e.record)
	e.record = merged
	e.over = e.over && merged.certainlyFenced()
	m.file(id, e)
	m.news[id] = true
	m.changed = m.now
}

func (m *Machine) insert(record Record) {
	id := record.Info.ID
	e := &entry{record: record, watch: watch{heard: m.now}, lifeSince: m.now}
	m.table[id] = e
	m.file(id, e)
	at, _ := slices.BinarySearch(m.order, id)
	m.order = slices.Insert(m.order, at, id)
	if id != m.config.Self.ID {
		m.ring.insert(id)
	}
	m.digest += recordDigest(record)
	m.news[id] = true
	m.changed = m.now
}

func (m *Machine) remove(id member.ID) {
	m.digest -= recordDigest(m.table[id].record)
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

// onGossip answers a probe or a whole exchange.
func (m *Machine) onGossip(msg Message) {
	switch {
	case msg.Full:
		missing := m.newerThan(msg.Records)
		if len(missing) > 0 {
			m.reply(msg, Message{Type: MessageGossip, Records: missing})
		}
	case len(msg.Records) == 0:
		m.exchangeIfDifferent(msg)
	}
}

// exchangeIfDifferent sends the whole table and asks for what the sender of
// msg knows beyond it. While news comes in, a difference is most likely news on
// its way, so that a table that changes all the time is exchanged less often.
func (m *Machine) exchangeIfDifferent(msg Message) {
	if msg.Digest == m.digest || m.now < m.nextExchange {
		return
	}
	if m.now-m.changed < m.config.HeartbeatEvery/2 && m.now < m.nextExchange+m.config.FenceAfter {
		return
	}
	m.nextExchange = m.now + m.exchangeEvery()
	m.reply(msg, Message{Type: MessageGossip, Full: true, Records: m.Members()})
}

func (m *Machine) exchangeEvery() time.Duration {
	return m.config.HeartbeatEvery/exchangesPerHeartbeat + time.Duration(len(m.order))*exchangePerRecord
}

// newerThan returns the records that would change the given table.
func (m *Machine) newerThan(theirs []Record) []Record {
	held := map[member.ID]Record{}
	for _, record := range theirs {
		held[record.Info.ID] = record
	}
	var newer []Record
	for _, id := range m.order {
		mine := m.table[id].record
		their, known := held[id]
		if !known || !equalRecords(mergeRecords(their, mine), their) {
			newer = append(newer, mine.clone())
		}
	}
	return newer
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
	var records []Record
	for _, id := range m.takeNews() {
		records = append(records, m.table[id].record.clone())
	}
	receivers := m.liveOthers()
	m.random.Shuffle(len(receivers), func(i, j int) {
		receivers[i], receivers[j] = receivers[j], receivers[i]
	})
	for _, id := range receivers[:min(gossipFanOut, len(receivers))] {
		m.send(id, Message{Type: MessageGossip, Records: records})
	}
}

// takeNews returns the members whose records are to be sent now, this node's own
// before all others, and leaves those beyond a batch for later.
func (m *Machine) takeNews() []member.ID {
	ids := slices.Sorted(maps.Keys(m.news))
	ids = slices.DeleteFunc(ids, func(id member.ID) bool { return m.table[id] == nil })
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

func (m *Machine) liveOthers() []member.ID {
	return slices.DeleteFunc(slices.Clone(m.order), func(id member.ID) bool {
		return id == m.config.Self.ID || m.table[id].record.certainlyFenced()
	})
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
