package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Gossip is sent at most gossipsPerHeartbeat times in HeartbeatEvery, with at most
// maxGossipRecords records a message. So a deployment that loses many members at once
// sends few messages of many records.
const (
	gossipsPerHeartbeat = 4
	maxGossipRecords    = 128
)

// bulkUpdateThreshold is how many records may change within HeartbeatEvery before the
// changes are left to anti-entropy.
const bulkUpdateThreshold = 16

// The reach of gossip; see gossip.receivers.
const (
	// zoneFanOut is how many members of its own zone a node passes an update to.
	zoneFanOut = 3
	// crossZoneFanOut is how many members of other zones the source of an update
	// sends it to. It also bounds how many any other node passes it on to.
	crossZoneFanOut = 2
	// forwardsPerZone times the number of zones is about how often an update is passed on
	// to another zone by all the nodes together that aren't its source.
	forwardsPerZone = 4
)

// gossip passes changed records on to a few members. It owns the pending updates: the
// members whose records changed since they were last passed on.
type gossip struct {
	config  Config
	table   *memberTable
	sampler *sampler
	outbox  *outbox
	pending map[member.ID]bool
	// nextSend is when gossip may be sent again.
	nextSend time.Duration
	// bulkUntil is until when so many records change that they are left to
	// anti-entropy instead of being passed on one by one.
	bulkUntil time.Duration
	// recentChanges counts the records that changed since recentChangesSince.
	recentChanges      int
	recentChangesSince time.Duration
}

// recordChanged marks a member's record to be passed on.
func (g *gossip) recordChanged(_ time.Duration, id member.ID, _ tableChange) {
	g.pending[id] = true
}

// clear drops all pending updates.
func (g *gossip) clear() {
	clear(g.pending)
}

// keepOnly drops all pending updates but that of one member, which is passed on in any
// case.
func (g *gossip) keepOnly(id member.ID) {
	g.clear()
	g.pending[id] = true
}

// sendPending passes the pending updates on if some are due. If urgent is set, they don't
// wait for the next turn.
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

// takePendingUpdates returns the members whose records are sent now. If there are more
// than maxGossipRecords, it draws that many, this node among them, and leaves the rest
// for later.
//
// In bulk changes, the records that aren't urgent are left to anti-entropy: passed on
// by each of n nodes to some others, n changes would cost several tables a node.
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

// countChanges counts the changes that aren't urgent within HeartbeatEvery, and
// recognizes a bulk change.
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

// inBulkChange tells whether very many records have changed lately.
func (g *gossip) inBulkChange(now time.Duration) bool { return now < g.bulkUntil }

// isUrgent tells whether a record is passed on even in a bulk change: it is this
// node's, or tells of a member that left or timed out.
func (g *gossip) isUrgent(id member.ID) bool {
	record := &g.table.entries[id].record
	return id == g.config.Self.ID || record.State == StateLeft || len(record.TimeoutReports) > 0
}

// originatedUpdate tells whether this node is the source of a record's change: the
// record is its own, or has a report of this process.
func (g *gossip) originatedUpdate(id member.ID) bool {
	return id == g.config.Self.ID || slices.ContainsFunc(g.table.entries[id].record.TimeoutReports, func(report TimeoutReport) bool {
		return report.Monitor == g.config.Self.ID && report.MonitorBoot == g.config.Self.Incarnation
	})
}

// receivers draws the members to send updates to: some of this node's zone, and some
// of others. The source of an update always sends to other zones; those that pass it
// on do so now and then, so that each zone gets it from a few.
func (g *gossip) receivers(originated bool) []member.ID {
	sameZone, otherZones, zones := g.sampler.shuffledLiveMembers()
	crossZoneCount := crossZoneFanOut
	if !originated {
		crossZoneCount = g.crossZoneForwards(zones)
	}
	return slices.Concat(sameZone[:min(zoneFanOut, len(sameZone))], otherZones[:min(crossZoneCount, len(otherZones))])
}

// crossZoneForwards draws how many members of other zones this node passes an update
// on to. All nodes together make about forwardsPerZone for each zone.
func (g *gossip) crossZoneForwards(zones int) int {
	expected := float64(forwardsPerZone*zones) / float64(len(g.table.sortedIDs))
	count := int(expected)
	if g.sampler.random.Float64() < expected-float64(count) {
		count++
	}
	return min(count, crossZoneFanOut)
}
