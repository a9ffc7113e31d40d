package confirmation

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
)

// Shard is what a Table and a Disseminator need of a shard that this node hosts.
type Shard interface {
	ID() uint32
	IsLeader() bool
	Term() uint64
	Revision() uint64
	// Nodes returns the registered nodes; read only.
	Nodes() []*controlpb.RegisterNode
}

// Members is what a Table and a Disseminator need of the table of members.
type Members interface {
	Records() []membership.Record
	Alive(id member.ID) bool
	// IncarnationEnded reports whether an incarnation of a node has certainly stopped
	// serving.
	IncarnationEnded(id member.ID, incarnation member.Incarnation) bool
	// FormerIncarnationQuiesced reports whether all requests that earlier incarnations of a
	// node sent have arrived.
	FormerIncarnationQuiesced(id member.ID) bool
}

// confirmation contains the newest revision of a shard that an incarnation of a node serves,
// and the newest one that it has drained.
type confirmation struct {
	incarnation member.Incarnation
	revision    uint64
	drained     uint64
}

// key identifies a confirmation in a Table.
type key struct {
	shard uint32
	node  member.ID
}

// awaitedRevision is a revision that a leader waits for: either revision is set and the nodes
// have to serve it, or drained is set and they have to drain it.
type awaitedRevision struct {
	revision uint64
	drained  uint64
	// since is when the wait began.
	since time.Duration
}

// TableConfig configures a Table.
type TableConfig struct {
	// RequestEvery is how long a leader waits for confirmations before it requests the
	// missing ones.
	RequestEvery time.Duration
	// FailOpen means that nodes go on serving while partitioned: the leader waits for the
	// live nodes, in place of the registered ones.
	FailOpen bool
}

// Table contains what the nodes have confirmed, and the revisions that the leaders on this
// node wait for.
type Table struct {
	config    TableConfig
	members   Members
	transport protocol.Transport
	byNode    map[key]confirmation
	// awaited are the open waits of this node as a leader, by shard.
	awaited map[uint32]awaitedRevision
}

// NewTable returns a table without confirmations.
func NewTable(config TableConfig, members Members, transport protocol.Transport) *Table {
	return &Table{
		config:    config,
		members:   members,
		transport: transport,
		byNode:    map[key]confirmation{},
		awaited:   map[uint32]awaitedRevision{},
	}
}

// Receive records a confirmation of a node. The table keeps the highest revisions of the
// node's newest incarnation.
func (t *Table) Receive(from member.ID, message protocol.Message) {
	for _, revision := range message.Revisions {
		name := key{shard: revision.Shard, node: from}
		known := t.byNode[name]
		if message.Incarnation < known.incarnation {
			continue
		}
		if message.Incarnation > known.incarnation {
			known = confirmation{incarnation: message.Incarnation}
		}
		known.revision = max(known.revision, revision.Revision)
		known.drained = max(known.drained, revision.Drained)
		t.byNode[name] = known
	}
}

// ForgetOlder removes what earlier incarnations of a node confirmed.
func (t *Table) ForgetOlder(shardID uint32, node member.ID, incarnation member.Incarnation) {
	name := key{shard: shardID, node: node}
	if known, found := t.byNode[name]; found && known.incarnation < incarnation {
		delete(t.byNode, name)
	}
}

// ConfirmedEverywhere reports whether no node can still serve a revision of the shard below
// the given one. Otherwise it starts a wait, so that RequestOverdue requests the missing
// confirmations.
func (t *Table) ConfirmedEverywhere(now time.Duration, shard Shard, revision uint64) bool {
	everywhere := t.allNodes(shard, func(row confirmation) bool { return row.revision >= revision })
	if !everywhere {
		t.await(shard, awaitedRevision{revision: revision, since: now})
	}
	return everywhere
}

// DrainedEverywhere reports whether no node has a request left on a replica that is out of
// service in the given revision. Otherwise it starts a wait, as ConfirmedEverywhere does.
func (t *Table) DrainedEverywhere(now time.Duration, shard Shard, revision uint64) bool {
	everywhere := t.formerIncarnationsQuiesced(shard) &&
		t.allNodes(shard, func(row confirmation) bool { return row.drained >= revision })
	if !everywhere {
		t.await(shard, awaitedRevision{drained: revision, since: now})
	}
	return everywhere
}

// await starts a wait for a revision that was not confirmed, or not drained, everywhere. It
// does nothing if a wait of the shard is open: the leader waits for a newer revision after
// that, so that it requests only confirmations that nodes had the time to send by themselves.
func (t *Table) await(shard Shard, awaited awaitedRevision) {
	if _, open := t.awaited[shard.ID()]; !open {
		t.awaited[shard.ID()] = awaited
	}
}

// formerIncarnationsQuiesced reports whether all requests that registered nodes sent in
// earlier incarnations have arrived: a confirmation covers only the requests of its own
// incarnation. Where nodes go on serving while partitioned there is no such guarantee, and the
// check is skipped.
func (t *Table) formerIncarnationsQuiesced(shard Shard) bool {
	if t.config.FailOpen {
		return true
	}
	for _, node := range shard.Nodes() {
		if !t.members.FormerIncarnationQuiesced(member.ID(node.GetNode())) {
			return false
		}
	}
	return true
}

// allNodes reports whether the confirmation of each registered node in its registered
// incarnation satisfies a condition, or that incarnation has certainly stopped serving. Where
// nodes go on serving while partitioned, the live nodes have to satisfy the condition.
func (t *Table) allNodes(shard Shard, satisfied func(confirmation) bool) bool {
	if t.config.FailOpen {
		return t.allLiveNodes(shard, satisfied)
	}
	for _, node := range shard.Nodes() {
		id := member.ID(node.GetNode())
		incarnation := member.Incarnation(node.GetIncarnation())
		row := t.byNode[key{shard: shard.ID(), node: id}]
		if row.incarnation == incarnation && satisfied(row) {
			continue
		}
		if !t.members.IncarnationEnded(id, incarnation) {
			return false
		}
	}
	return true
}

// allLiveNodes reports whether the confirmation of each node that is not suspected to have
// failed satisfies a condition in the node's present incarnation.
func (t *Table) allLiveNodes(shard Shard, satisfied func(confirmation) bool) bool {
	for _, record := range t.members.Records() {
		if t.members.Alive(record.Info.ID) && !satisfied(t.currentConfirmation(shard, record.Info)) {
			return false
		}
	}
	return true
}

// currentConfirmation returns what the present incarnation of a node has confirmed.
func (t *Table) currentConfirmation(shard Shard, info member.Info) confirmation {
	row := t.byNode[key{shard: shard.ID(), node: info.ID}]
	if row.incarnation < info.Incarnation {
		return confirmation{}
	}
	return row
}

// hasConfirmed reports whether the present incarnation of a node has sent a confirmation.
func (t *Table) hasConfirmed(shard Shard, info member.Info) bool {
	row, found := t.byNode[key{shard: shard.ID(), node: info.ID}]
	return found && row.incarnation >= info.Incarnation
}

// serves reports whether the present incarnation of a node has confirmed a revision or a later
// one.
func (t *Table) serves(shard Shard, info member.Info, revision uint64) bool {
	row := t.byNode[key{shard: shard.ID(), node: info.ID}]
	return row.incarnation >= info.Incarnation && row.revision >= revision
}

// RequestOverdue ends the wait of a shard after RequestEvery, and requests the missing
// confirmations if this node leads the shard. That bounds the delay if a confirmation was
// lost, or was sent before this node became the leader.
func (t *Table) RequestOverdue(now time.Duration, shard Shard) {
	overdue, open := t.awaited[shard.ID()]
	if !open || now-overdue.since < t.config.RequestEvery {
		return
	}
	delete(t.awaited, shard.ID())
	switch {
	case !shard.IsLeader():
	case t.config.FailOpen:
		t.requestLive(shard, overdue)
	default:
		t.requestRegistered(shard, overdue)
	}
}

// requestRegistered asks each registered node that may still be serving and has not confirmed
// the overdue revision. Registered nodes send their confirmations to all nodes with disks and
// need not know the leader, so that the request contains no term.
func (t *Table) requestRegistered(shard Shard, overdue awaitedRevision) {
	for _, node := range shard.Nodes() {
		id := member.ID(node.GetNode())
		incarnation := member.Incarnation(node.GetIncarnation())
		row := t.byNode[key{shard: shard.ID(), node: id}]
		current := row.incarnation == incarnation && row.revision >= overdue.revision && row.drained >= overdue.drained
		if !current && !t.members.IncarnationEnded(id, incarnation) {
			t.transport.Send(id, protocol.Message{Type: protocol.MessageConfirmRequest, Shard: shard.ID()})
		}
	}
}

// requestLive asks each live node that has not confirmed the overdue revision.
func (t *Table) requestLive(shard Shard, overdue awaitedRevision) {
	for _, record := range t.members.Records() {
		row := t.currentConfirmation(shard, record.Info)
		if t.members.Alive(record.Info.ID) && (row.revision < overdue.revision || row.drained < overdue.drained) {
			t.request(shard, record.Info.ID)
		}
	}
}

// request asks a node which revisions it serves, and tells it that this node leads the shard.
func (t *Table) request(shard Shard, id member.ID) {
	t.transport.Send(id, protocol.Message{
		Type:  protocol.MessageConfirmRequest,
		Shard: shard.ID(),
		Term:  shard.Term(),
	})
}
