package membership

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// antiEntropy finds and repairs differences between two nodes' tables by exchanges. Each
// takes three messages, or four, so that a difference costs little more than the records
// that differ:
//
//  1. One sends a digest of each of bucketCount key ranges of its table (Buckets).
//  2. The other replies with a digest of each record in the ranges that differ
//     (CoveredBuckets, Summary).
//  3. The first sends the records that the other lacks or that differ, and names those
//     that it lacks or that differ (Records, Requested). Of the named ones, the other
//     sends those that are still newer (Records).
//
// It owns what this node knows of the need for an exchange. Nothing is kept of an exchange
// that runs: each message says all that its receiver needs, so a lost one only delays the
// repair until the digests are compared again.
type antiEntropy struct {
	config  Config
	table   *memberTable
	sampler *sampler
	joiner  *joiner
	gossip  *gossip
	outbox  *outbox
	// differingMember is a member whose digest differed since the last exchange; its ID is
	// empty if there is none.
	differingMember member.Info
	// nextExchange is when this node may start an exchange again.
	nextExchange time.Duration
}

// A node starts an exchange at most exchangesPerHeartbeat times in HeartbeatEvery, and
// less often the more members there are.
const (
	exchangesPerHeartbeat     = 4
	exchangeIntervalPerRecord = 500 * time.Microsecond
	// differingPartnerOneIn is one in how many exchanges goes to the member whose
	// digest differed. The others go to some member of this node's zone, which costs
	// less.
	differingPartnerOneIn = 3
)

// compareDigest remembers the sender of a message if its table differs.
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

// startExchange sends the first message of an exchange if one is due. A difference that
// was seen while records still change is probably repaired by gossip on its way, so it
// waits for a quiet instant; not so in a bulk change, or while joining nodes wait for
// this node's table.
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

// partner draws whom to exchange records with. While joining nodes wait, it is a member
// at another seed, since other nodes join through that one.
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

// onGossip handles a probe or a message of an exchange after its records were merged.
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

// onBuckets replies with a summary of the key ranges that differ, or not at all if none does.
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
		// The digests by key range are shorter than that of the table, and may
		// collide where it doesn't.
		covered = allBuckets
	}
	return Message{Type: MessageGossip, CoveredBuckets: covered, Summary: a.table.summarize(covered)}, true
}

// onSummary replies with the records that the sender lacks or that differ, and
// requests those that this node lacks or that differ. There is no reply if it would be
// empty.
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

// onRequested replies with the requested records, except those that the sender has by
// now: what it sent along was merged before. There is no reply if that leaves none.
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
