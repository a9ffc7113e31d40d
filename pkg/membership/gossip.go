package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Gossip is sent at most gossipsPerHeartbeat times in HeartbeatEvery, with at most
// maxGossipRecords records per message. So a deployment that loses many members at once
// sends few messages with many records each.
const (
	gossipsPerHeartbeat = 4
	maxGossipRecords    = 128
)

// bulkUpdateThreshold is the largest number of non-urgent changes within HeartbeatEvery that
// gossip sends. More of them are a bulk change, which is left to anti-entropy.
const bulkUpdateThreshold = 16

// Fan-out of gossip; see gossip.receivers.
const (
	// zoneFanOut is the number of members of its own zone to which a node sends an update.
	zoneFanOut = 3
	// crossZoneFanOut is the number of members of other zones to which the source of an
	// update sends it, and the most to which any other node forwards it.
	crossZoneFanOut = 2
	// forwardsPerZone times the number of zones is about how often the nodes other than
	// the source, all together, forward an update to a member of another zone.
	forwardsPerZone = 4
)

// gossip sends changed records to a few members. It owns the pending updates: the IDs of
// the members whose records changed since this node last sent them.
type gossip struct {
	config  Config
	table   *memberTable
	sampler *sampler
	outbox  *outbox
	pending map[member.ID]bool
	// nextSend is when gossip may be sent again.
	nextSend time.Duration
	// bulkUntil is when the present bulk change ends. Until then, changes that aren't
	// urgent are left to anti-entropy.
	bulkUntil time.Duration
	// recentChanges counts the changes since recentChangesSince that aren't urgent.
	recentChanges      int
	recentChangesSince time.Duration
}

// recordChanged marks a member's record as a pending update.
func (g *gossip) recordChanged(_ time.Duration, id member.ID, _ tableChange) {
	g.pending[id] = true
}

// clear drops all pending updates.
func (g *gossip) clear() {
	clear(g.pending)
}

// keepOnly makes one member's record the only pending update, whether or not it was pending
// before.
func (g *gossip) keepOnly(id member.ID) {
	g.clear()
	g.pending[id] = true
}

// sendPending sends the pending updates, at most once per interval. If urgent is set, it
// doesn't wait for the end of the interval.
func (g *gossip) sendPending(now time.Duration, urgent bool) {
	if len(g.pending) == 0 || now < g.nextSend && !urgent {
		return
	}
	g.nextSend = now + g.config.HeartbeatEvery/gossipsPerHeartbeat
	ids := g.takePendingUpdates(now)
	if len(ids) == 0 {
		return
	}
	var records []Record
	for _, id := range ids {
		records = append(records, g.table.entries[id].record.clone())
	}
	originated := slices.ContainsFunc(ids, g.originatedUpdate)
	for _, id := range g.receivers(originated) {
		g.outbox.send(id, Message{Type: MessageGossip, Records: records})
	}
}

// takePendingUpdates returns the members whose records are to be sent now. If more than
// maxGossipRecords are pending, it selects that many at random, always including this node
// if its record is pending, and leaves the others pending.
//
// During a bulk change, the records that aren't urgent are left to anti-entropy. If n records
// changed and each of n nodes sent each of them to a few others, the cost per node would be
// several times the size of the table.
func (g *gossip) takePendingUpdates(now time.Duration) []member.ID {
	ids := slices.Sorted(maps.Keys(g.pending))
	ids = slices.DeleteFunc(ids, func(id member.ID) bool { return g.table.entries[id] == nil })
	urgent := slices.DeleteFunc(slices.Clone(ids), func(id member.ID) bool { return !g.isUrgent(id) })
	g.countChanges(now, len(ids)-len(urgent))
	if g.inBulkChange(now) {
		ids = urgent
	}
	if len(ids) <= maxGossipRecords {
		g.clear()
		return ids
	}
	g.sampler.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	if self := slices.Index(ids, g.config.Self.ID); self >= maxGossipRecords {
		ids[0], ids[self] = ids[self], ids[0]
	}
	ids = ids[:maxGossipRecords]
	for _, id := range ids {
		delete(g.pending, id)
	}
	return ids
}

// countChanges adds to the count of changes within HeartbeatEvery that aren't urgent, and
// detects a bulk change.
func (g *gossip) countChanges(now time.Duration, count int) {
	if now-g.recentChangesSince >= g.config.HeartbeatEvery {
		g.recentChangesSince = now
		g.recentChanges = 0
	}
	g.recentChanges += count
	if g.recentChanges > bulkUpdateThreshold {
		g.bulkUntil = now + g.config.FenceAfter
	}
}

// inBulkChange reports whether countChanges detected a bulk change within the last
// FenceAfter.
func (g *gossip) inBulkChange(now time.Duration) bool { return now < g.bulkUntil }

// isUrgent reports whether a record is sent even during a bulk change: it is this node's own
// record, or it states that a member left or timed out.
func (g *gossip) isUrgent(id member.ID) bool {
	record := &g.table.entries[id].record
	return id == g.config.Self.ID || record.State == StateLeft || len(record.TimeoutReports) > 0
}

// originatedUpdate reports whether this node is the source of an update: the record is its
// own, or contains a report that this process made.
func (g *gossip) originatedUpdate(id member.ID) bool {
	return id == g.config.Self.ID || slices.ContainsFunc(g.table.entries[id].record.TimeoutReports, func(report TimeoutReport) bool {
		return report.Monitor == g.config.Self.ID && report.MonitorBoot == g.config.Self.Incarnation
	})
}

// receivers selects the members to send updates to at random: some of this node's zone and
// some of other zones. The source of an update always sends it to other zones. Nodes that
// forward an update do so with a probability that gives each zone a few copies.
func (g *gossip) receivers(originated bool) []member.ID {
	sameZone, otherZones, zones := g.sampler.shuffledLiveMembers()
	crossZoneCount := crossZoneFanOut
	if !originated {
		crossZoneCount = g.crossZoneForwards(zones)
	}
	return slices.Concat(sameZone[:min(zoneFanOut, len(sameZone))], otherZones[:min(crossZoneCount, len(otherZones))])
}

// crossZoneForwards returns the random number of members of other zones to which this node
// forwards an update. It is such that all nodes together make about forwardsPerZone
// forwards for each zone.
func (g *gossip) crossZoneForwards(zones int) int {
	expected := float64(forwardsPerZone*zones) / float64(len(g.table.sortedIDs))
	count := int(expected)
	if g.sampler.random.Float64() < expected-float64(count) {
		count++
	}
	return min(count, crossZoneFanOut)
}
