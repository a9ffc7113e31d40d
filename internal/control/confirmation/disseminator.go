package confirmation

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
)

const (
	// announceEvery is how often a leader tells a node which has not confirmed
	// anything that it leads the shard.
	announceEvery = time.Second
	// directSendDelay is how long the relay tree may take before the leader of a
	// shard sends a new state directly to nodes that have not confirmed it, and
	// how often it does.
	directSendDelay = 200 * time.Millisecond
	// maxDirectSends bounds the nodes that a leader sends to at once.
	maxDirectSends = 16
)

// progress is how far the newest state of a shard has come that this node leads.
type progress struct {
	// term is that of the leadership which the rest belongs to.
	term uint64
	// announcements is when each incarnation of a node was last informed of the leadership.
	announcements map[member.ID]announcement
	// revision is the newest one published, and publishedAt since when.
	revision    uint64
	publishedAt time.Duration
	nextSend    time.Duration
	// nextReceiver chooses whom to send to first.
	nextReceiver int
}

type announcement struct {
	incarnation member.Incarnation
	at          time.Duration
}

// Disseminator makes the leadership of shards known, and brings their newest states to
// nodes that the relay tree did not reach in time: because their parent is down, frozen
// or partitioned, or because they see other members than their parents do.
type Disseminator struct {
	self    member.ID
	members Members
	table   *Table
	// sendState sends the newest state of a shard to a node.
	sendState func(to member.ID, shardID uint32)
	shards    map[uint32]*progress
}

// NewDisseminator returns the disseminator of a node that has led nothing yet.
func NewDisseminator(self member.ID, members Members, table *Table, sendState func(to member.ID, shardID uint32)) *Disseminator {
	return &Disseminator{
		self:      self,
		members:   members,
		table:     table,
		sendState: sendState,
		shards:    map[uint32]*progress{},
	}
}

// Tick goes on with a shard that this node leads and in which it has committed an entry.
func (d *Disseminator) Tick(now time.Duration, shard Shard) {
	state := d.shards[shard.ID()]
	if state == nil || state.term != shard.Term() {
		state = &progress{term: shard.Term(), announcements: map[member.ID]announcement{}}
		d.shards[shard.ID()] = state
	}
	d.announce(now, shard, state)
	d.sendDirectly(now, shard, state)
}

// announce tells nodes that this one leads the shard, and asks what they serve. Those
// that answer confirm what they serve from then on by themselves.
func (d *Disseminator) announce(now time.Duration, shard Shard, state *progress) {
	for _, record := range d.members.Records() {
		if !d.isLiveOther(record) {
			continue
		}
		last, announced := state.announcements[record.Info.ID]
		current := announced && last.incarnation == record.Info.Incarnation
		if current && (d.table.hasConfirmed(shard, record.Info) || now-last.at < announceEvery) {
			continue
		}
		state.announcements[record.Info.ID] = announcement{incarnation: record.Info.Incarnation, at: now}
		d.table.request(shard, record.Info.ID)
	}
}

// sendDirectly sends the newest state of a shard to some nodes that have not confirmed it
// in time.
func (d *Disseminator) sendDirectly(now time.Duration, shard Shard, state *progress) {
	if revision := shard.Revision(); revision != state.revision {
		state.revision = revision
		state.publishedAt = now
		state.nextSend = now + directSendDelay
	}
	if now < state.nextSend {
		return
	}
	state.nextSend = now + directSendDelay
	behind := d.nodesBehind(shard, state)
	for position := range min(len(behind), maxDirectSends) {
		id := behind[(state.nextReceiver+position)%len(behind)]
		d.sendState(id, shard.ID())
		d.table.request(shard, id)
	}
	state.nextReceiver += maxDirectSends
}

// nodesBehind lists the live nodes that have not confirmed the newest revision.
func (d *Disseminator) nodesBehind(shard Shard, state *progress) []member.ID {
	var behind []member.ID
	for _, record := range d.members.Records() {
		if d.isLiveOther(record) && !d.table.serves(shard, record.Info, state.revision) {
			behind = append(behind, record.Info.ID)
		}
	}
	return behind
}

// isLiveOther reports whether a record is of another node that may serve.
func (d *Disseminator) isLiveOther(record membership.Record) bool {
	live := record.State == membership.StateAlive || record.State == membership.StateSuspect
	return live && record.Info.ID != d.self
}
