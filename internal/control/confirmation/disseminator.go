package confirmation

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
)

const (
	// announceEvery is the interval at which a leader repeats the announcement of its
	// leadership to a node that has not confirmed anything.
	announceEvery = time.Second
	// directSendDelay is how long the leader of a shard waits for the relay tree before
	// it sends a new state directly to nodes that have not confirmed it, and the interval
	// at which it repeats that.
	directSendDelay = 200 * time.Millisecond
	// maxDirectSends bounds the nodes that a leader sends a state to at once.
	maxDirectSends = 16
)

// progress is how far the newest state of a shard that this node leads has been distributed.
type progress struct {
	// term is the term of the leadership that the other fields belong to.
	term uint64
	// announcements are the last announcements of the leadership to each node.
	announcements map[member.ID]announcement
	// revision is the newest revision of the shard, and publishedAt when it was first seen.
	revision    uint64
	publishedAt time.Duration
	// nextSend is when the newest state is next sent directly.
	nextSend time.Duration
	// nextReceiver selects the first of the nodes that are sent to, so that all nodes that
	// are behind get their turn.
	nextReceiver int
}

// announcement is an announcement to one incarnation of a node.
type announcement struct {
	incarnation member.Incarnation
	at          time.Duration
}

// Disseminator announces the leadership of shards, and sends their newest states to nodes
// that the relay tree did not reach in time: because their parent is down, suspended or
// partitioned, or because their table of members differs from their parent's.
type Disseminator struct {
	self    member.ID
	members Members
	table   *Table
	// sendState sends the newest state of a shard to a node.
	sendState func(to member.ID, shardID uint32)
	shards    map[uint32]*progress
}

// NewDisseminator returns the Disseminator of a node that has led no shard yet.
func NewDisseminator(self member.ID, members Members, table *Table, sendState func(to member.ID, shardID uint32)) *Disseminator {
	return &Disseminator{
		self:      self,
		members:   members,
		table:     table,
		sendState: sendState,
		shards:    map[uint32]*progress{},
	}
}

// Tick announces the leadership of a shard and sends its newest state where that is due. This
// node must lead the shard and have committed an entry in the present term.
func (d *Disseminator) Tick(now time.Duration, shard Shard) {
	state := d.shards[shard.ID()]
	if state == nil || state.term != shard.Term() {
		state = &progress{term: shard.Term(), announcements: map[member.ID]announcement{}}
		d.shards[shard.ID()] = state
	}
	d.announce(now, shard, state)
	d.sendDirectly(now, shard, state)
}

// announce tells the live nodes that this one leads the shard, and asks which revisions they
// serve. A node that knows the leader sends it later confirmations without being asked.
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

// nodesBehind returns the live nodes that have not confirmed the newest revision.
func (d *Disseminator) nodesBehind(shard Shard, state *progress) []member.ID {
	var behind []member.ID
	for _, record := range d.members.Records() {
		if d.isLiveOther(record) && !d.table.serves(shard, record.Info, state.revision) {
			behind = append(behind, record.Info.ID)
		}
	}
	return behind
}

// isLiveOther reports whether a record is of another node that may be serving.
func (d *Disseminator) isLiveOther(record membership.Record) bool {
	live := record.State == membership.StateAlive || record.State == membership.StateSuspect
	return live && record.Info.ID != d.self
}
