package membership

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// antiEntropy detects and repairs differences between the tables of two nodes. An exchange
// takes three or four messages, and transfers little more than the records that differ:
//
//  1. Node A sends a digest of each of bucketCount key ranges of its table (Buckets).
//  2. Node B replies with a digest of each record in the ranges that differ
//     (CoveredBuckets, Summary).
//  3. A sends the records that B lacks or that differ (Records), and requests those that A
//     lacks or that differ (Requested).
//  4. B sends the requested records that still differ from what A sent (Records). It sends
//     nothing if there are none.
//
// antiEntropy owns a member whose digest differed and the time of the next exchange. It keeps
// no state of a running exchange: each message contains all that its receiver needs, so the
// loss of a message only delays the repair until the digests are compared again.
type antiEntropy struct {
	config  Config
	table   *memberTable
	sampler *sampler
	joiner  *joiner
	gossip  *gossip
	outbox  *outbox
	// differingMember is the last member whose digest differed from this node's since the
	// last exchange; its ID is empty if there is none.
	differingMember member.Info
	// nextExchange is when this node may start an exchange again.
	nextExchange time.Duration
}

// A node waits at least HeartbeatEvery/exchangesPerHeartbeat from one exchange that it starts
// to the next, and longer by exchangeIntervalPerRecord for each record in its table.
const (
	exchangesPerHeartbeat     = 4
	exchangeIntervalPerRecord = 500 * time.Microsecond
	// differingPartnerOneIn is the average number of exchanges of which one is with the
	// member whose digest differed. The others are with a random member of this node's
	// zone, because traffic within a zone costs less.
	differingPartnerOneIn = 3
)

// compareDigest stores the sender of a message in differingMember if the sender's digest
// differs from this node's.
func (a *antiEntropy) compareDigest(msg Message) {
	if msg.Digest == a.table.digest {
		return
	}
	a.differingMember = msg.From
	e, known := a.table.entries[msg.From.ID]
	if known && msg.From.Address == "" {
		a.differingMember = e.record.Info
	}
}

// startExchange sends the first message of an exchange if one is due. While records still
// change, gossip in transit will probably repair the difference, so the exchange waits until
// no record has changed for half of HeartbeatEvery, or until it is overdue by FenceAfter. It
// doesn't wait during a bulk change or while joining nodes wait for this node's table.
func (a *antiEntropy) startExchange(now time.Duration) {
	joinsWaiting := len(a.joiner.deferred) > 0
	if now < a.nextExchange || a.differingMember.ID == "" && !joinsWaiting {
		return
	}
	overdue := now >= a.nextExchange+a.config.FenceAfter
	quiet := now-a.table.changedAt >= a.config.HeartbeatEvery/2
	if !a.gossip.inBulkChange(now) && !joinsWaiting && !overdue && !quiet {
		return
	}
	partner, found := a.partner()
	if !found {
		return
	}
	a.differingMember = member.Info{}
	a.nextExchange = now + a.config.HeartbeatEvery/exchangesPerHeartbeat +
		time.Duration(len(a.table.sortedIDs))*exchangeIntervalPerRecord
	a.outbox.sendTo(partner, Message{Type: MessageGossip, Buckets: a.table.bucketDigests()})
}

// partner selects the member with which to exchange records. While joining nodes wait for
// this node's table, it prefers a member that listens at another seed, since other nodes join
// through that seed.
func (a *antiEntropy) partner() (member.Info, bool) {
	if len(a.joiner.deferred) > 0 {
		address := a.sampler.randomSeed(a.joiner.remoteSeeds())
		for _, id := range a.table.sortedIDs {
			if info := a.table.entries[id].record.Info; address != "" && info.Address == address {
				return info, true
			}
		}
	}
	if a.sampler.random.IntN(differingPartnerOneIn) > 0 {
		if sameZone, _, _ := a.sampler.shuffledLiveMembers(); len(sameZone) > 0 {
			return a.table.entries[sameZone[0]].record.Info, true
		}
	}
	return a.differingMember, a.differingMember.ID != ""
}

// onGossip handles a probe or a message of an exchange. The message's records have already
// been merged.
func (a *antiEntropy) onGossip(msg Message) {
	var reply Message
	var hasReply bool
	switch {
	case len(msg.Buckets) > 0:
		reply, hasReply = a.onBuckets(msg)
	case msg.CoveredBuckets != 0:
		reply, hasReply = a.onSummary(msg)
	case len(msg.Requested) > 0:
		reply, hasReply = a.onRequested(msg)
	case len(msg.Records) == 0:
		a.compareDigest(msg)
	}
	if hasReply {
		a.outbox.reply(msg, reply)
	}
}

// onBuckets returns a reply that summarizes the key ranges that differ. It returns false if
// the tables' digests are equal, or if the message has another number of key ranges.
func (a *antiEntropy) onBuckets(msg Message) (Message, bool) {
	if msg.Digest == a.table.digest || len(msg.Buckets) != bucketCount {
		return Message{}, false
	}
	covered := uint64(0)
	for i, digest := range a.table.bucketDigests() {
		if digest != msg.Buckets[i] {
			covered |= 1 << i
		}
	}
	if covered == 0 {
		// The tables differ, but the digests of their key ranges, which are shorter than
		// the digest of the table, collide.
		covered = allBuckets
	}
	return Message{Type: MessageGossip, CoveredBuckets: covered, Summary: a.table.summarize(covered)}, true
}

// onSummary returns a reply that contains the records that the sender lacks or that differ,
// and that requests the records that this node lacks or that differ. It returns false if the
// reply would be empty.
func (a *antiEntropy) onSummary(msg Message) (Message, bool) {
	remoteDigests := make(map[uint32]uint32, len(msg.Summary))
	for _, summary := range msg.Summary {
		remoteDigests[summary.Member] = summary.Digest
	}
	reply := Message{Type: MessageGossip}
	for _, id := range a.table.sortedIDs {
		e := a.table.entries[id]
		if !e.isCovered(msg.CoveredBuckets) {
			continue
		}
		digest, known := remoteDigests[e.key]
		delete(remoteDigests, e.key)
		if known && digest == uint32(e.digest) {
			continue
		}
		reply.Records = append(reply.Records, e.record.clone())
		if known {
			reply.Requested = append(reply.Requested, e.key)
		}
	}
	for key := range remoteDigests {
		reply.Requested = append(reply.Requested, key)
	}
	slices.Sort(reply.Requested)
	return reply, len(reply.Records)+len(reply.Requested) > 0
}

// onRequested returns a reply that contains the requested records, except those that equal
// the ones in the message, which have already been merged into this node's table. It returns
// false if no records remain.
func (a *antiEntropy) onRequested(msg Message) (Message, bool) {
	received := map[member.ID]Record{}
	for _, record := range msg.Records {
		received[record.Info.ID] = record
	}
	var records []Record
	for _, id := range a.table.sortedIDs {
		e := a.table.entries[id]
		if _, requested := slices.BinarySearch(msg.Requested, e.key); !requested {
			continue
		}
		if sent, known := received[id]; !known || !equalRecords(sent, e.record) {
			records = append(records, e.record.clone())
		}
	}
	return Message{Type: MessageGossip, Records: records}, len(records) > 0
}
