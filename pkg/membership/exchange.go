package membership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Two nodes whose tables differ find out where in three steps, so that a difference
// costs little more than the records that differ:
//
//  1. One sends a digest of each of bucketCount ranges of its table.
//  2. The other answers with a digest of each record in the ranges that differ.
//  3. The first sends the records that the other lacks or that differ, and names those
//     that it lacks or that differ. Of these, the other sends what is still newer.

const (
	// bucketCount is the number of ranges, one for each bit of Message.CoveredBuckets.
	bucketCount = 64
	bucketBits  = 6
	allBuckets  = ^uint64(0)
)

// A node starts an exchange at most exchangesPerHeartbeat times in HeartbeatEvery, and
// less often the more a summary holds.
const (
	exchangesPerHeartbeat     = 4
	exchangeIntervalPerRecord = 500 * time.Microsecond
	// differingPartnerOneIn is one in how many exchanges goes to the member whose digest
	// differed; the others go to some member of this node's zone, which costs less.
	differingPartnerOneIn = 3
)

// exchange is what a node knows of the need to exchange records.
type exchange struct {
	// differing is a member whose digest differed since the last exchange; its ID is
	// empty if there is none.
	differing member.Info
	next      time.Duration
}

// memberKey stands for a member in summaries. Two members with one key are sent more
// often than they need be.
func memberKey(id member.ID) uint32 { return uint32(ringPosition(id) >> 32) }

// bucketOf returns the range of a member.
func bucketOf(key uint32) int { return int(key >> (32 - bucketBits)) }

// updateDigest takes a new or changed record into the digests.
func (m *Machine) updateDigest(e *entry) {
	digest := recordDigest(e.record)
	m.digest += digest - e.digest
	m.buckets[bucketOf(e.key)] += digest - e.digest
	e.digest = digest
}

// removeFromDigest takes a record out of the digests.
func (m *Machine) removeFromDigest(e *entry) {
	m.digest -= e.digest
	m.buckets[bucketOf(e.key)] -= e.digest
	e.digest = 0
}

// compareDigest notes that the sender's table differs.
func (m *Machine) compareDigest(msg Message) {
	if msg.Digest == m.digest {
		return
	}
	m.exchange.differing = msg.From
	e, known := m.table[msg.From.ID]
	if known && msg.From.Address == "" {
		m.exchange.differing = e.record.Info
	}
}

// startExchange sends the digests by range if some member's table differs. While
// little news comes in, a difference is most likely news on its way, so that it waits.
func (m *Machine) startExchange() {
	waiting := len(m.deferredJoins) > 0
	if m.now < m.exchange.next || m.exchange.differing.ID == "" && !waiting {
		return
	}
	overdue := m.now >= m.exchange.next+m.config.FenceAfter
	if !m.inBulkChange() && !waiting && !overdue && m.now-m.changedAt < m.config.HeartbeatEvery/2 {
		return
	}
	partner, found := m.exchangePartner()
	if !found {
		return
	}
	m.exchange = exchange{next: m.now + m.exchangeInterval()}
	m.outbox = append(m.outbox, Outbound{
		To:      partner.ID,
		Address: partner.Address,
		Message: m.withSender(Message{Type: MessageGossip, Buckets: m.bucketDigests()}),
	})
}

// exchangePartner draws whom to exchange records with. A node that keeps others
// waiting for its table asks the other seeds, which others join through.
func (m *Machine) exchangePartner() (member.Info, bool) {
	if len(m.deferredJoins) > 0 {
		if seed, found := m.randomSeedMember(); found {
			return seed, true
		}
	}
	if m.random.IntN(differingPartnerOneIn) > 0 {
		if near, _, _ := m.shuffledLiveMembers(); len(near) > 0 {
			return m.table[near[0]].record.Info, true
		}
	}
	return m.exchange.differing, m.exchange.differing.ID != ""
}

// randomSeedMember draws a member that listens at a seed.
func (m *Machine) randomSeedMember() (member.Info, bool) {
	seeds := m.remoteSeeds()
	if len(seeds) == 0 {
		return member.Info{}, false
	}
	address := seeds[m.random.IntN(len(seeds))]
	for _, id := range m.sortedIDs {
		if info := m.table[id].record.Info; info.Address == address {
			return info, true
		}
	}
	return member.Info{}, false
}

func (m *Machine) bucketDigests() []uint32 {
	digests := make([]uint32, bucketCount)
	for i, digest := range m.buckets {
		digests[i] = uint32(digest)
	}
	return digests
}

// onGossip answers a probe or the steps of an exchange.
func (m *Machine) onGossip(msg Message) {
	switch {
	case len(msg.Buckets) > 0:
		m.onBuckets(msg)
	case msg.CoveredBuckets != 0:
		m.onSummary(msg)
	case len(msg.Requested) > 0:
		m.onRequested(msg)
	case len(msg.Records) == 0:
		m.compareDigest(msg)
	}
}

// onBuckets answers with a summary of the ranges that differ.
func (m *Machine) onBuckets(msg Message) {
	if msg.Digest == m.digest || len(msg.Buckets) != bucketCount {
		return
	}
	covered := uint64(0)
	for i, digest := range m.bucketDigests() {
		if digest != msg.Buckets[i] {
			covered |= 1 << i
		}
	}
	if covered == 0 {
		// The digests by range are shorter than the one of the table.
		covered = allBuckets
	}
	m.reply(msg, Message{Type: MessageGossip, CoveredBuckets: covered, Summary: m.summaryOf(covered)})
}

func (m *Machine) summaryOf(covered uint64) []RecordDigest {
	summary := make([]RecordDigest, 0, len(m.sortedIDs)*bits.OnesCount64(covered)/bucketCount)
	for _, id := range m.sortedIDs {
		if e := m.table[id]; e.isCovered(covered) {
			summary = append(summary, e.summary())
		}
	}
	return summary
}

func (e *entry) isCovered(covered uint64) bool { return covered>>bucketOf(e.key)&1 == 1 }

func (e *entry) summary() RecordDigest { return RecordDigest{Member: e.key, Digest: uint32(e.digest)} }

// onSummary sends the records in which the sender's table differs, and asks for its
// own of these.
func (m *Machine) onSummary(msg Message) {
	theirs := make(map[uint32]uint32, len(msg.Summary))
	for _, summary := range msg.Summary {
		theirs[summary.Member] = summary.Digest
	}
	reply := Message{Type: MessageGossip}
	for _, id := range m.sortedIDs {
		e := m.table[id]
		if !e.isCovered(msg.CoveredBuckets) {
			continue
		}
		digest, known := theirs[e.key]
		delete(theirs, e.key)
		if known && digest == uint32(e.digest) {
			continue
		}
		reply.Records = append(reply.Records, e.record.clone())
		if known {
			reply.Requested = append(reply.Requested, e.key)
		}
	}
	for key := range theirs {
		reply.Requested = append(reply.Requested, key)
	}
	slices.Sort(reply.Requested)
	if len(reply.Records)+len(reply.Requested) > 0 {
		m.reply(msg, reply)
	}
}

// onRequested sends the wanted records, but for those that the sender holds by now: what
// it sent along has been merged.
func (m *Machine) onRequested(msg Message) {
	received := map[member.ID]Record{}
	for _, record := range msg.Records {
		received[record.Info.ID] = record
	}
	var records []Record
	for _, id := range m.sortedIDs {
		e := m.table[id]
		if _, requested := slices.BinarySearch(msg.Requested, e.key); !requested {
			continue
		}
		if their, known := received[id]; !known || !equalRecords(their, e.record) {
			records = append(records, e.record.clone())
		}
	}
	if len(records) > 0 {
		m.reply(msg, Message{Type: MessageGossip, Records: records})
	}
}
