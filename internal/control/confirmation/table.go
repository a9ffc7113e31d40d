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
	// Nodes are the registered nodes; read only.
	Nodes() []*controlpb.RegisterNode
}

// Members is what a Table needs of the table of members.
type Members interface {
	Records() []membership.Record
	Alive(id member.ID) bool
	// IncarnationEnded reports whether a node certainly serves nothing any more in an
	// incarnation.
	IncarnationEnded(id member.ID, incarnation member.Incarnation) bool
	// FormerIncarnationQuiesced reports whether no request of an earlier incarnation of a
	// node is on its way any more.
	FormerIncarnationQuiesced(id member.ID) bool
}

// confirmation is what a node confirmed of one shard in one incarnation.
type confirmation struct {
	incarnation member.Incarnation
	revision    uint64
	drained     uint64
}

// key names a confirmation.
type key struct {
	shard uint32
	node  member.ID
}

// awaitedRevision is what a leader has waited for since an instant: that the nodes serve a
// revision, or that they have drained it; the other one is 0.
type awaitedRevision struct {
	revision uint64
	drained  uint64
	since    time.Duration
}

// TableConfig sets up a Table.
type TableConfig struct {
	// RequestEvery is how long a leader waits before it asks the nodes that have not
	// confirmed what it waits for.
	RequestEvery time.Duration
	// FailOpen means that nodes go on serving while partitioned: the live nodes are waited
	// for, in place of the registered ones.
	FailOpen bool
}

// Table is what the nodes have confirmed, and what leaders on this node wait for.
type Table struct {
	config    TableConfig
	members   Members
	transport protocol.Transport
	byNode    map[key]confirmation
	// awaited is what this node, as the leader of a shard, waits for.
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

// Receive keeps the highest revisions of a node's newest incarnation.
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

// ForgetOlder drops what an earlier incarnation of a node confirmed.
func (t *Table) ForgetOlder(shardID uint32, node member.ID, incarnation member.Incarnation) {
	name := key{shard: shardID, node: node}
	if known, found := t.byNode[name]; found && known.incarnation < incarnation {
		delete(t.byNode, name)
	}
}

// ConfirmedEverywhere reports whether no node can still serve a revision of the shard below
// the given one. If one can, the leader waits for it from now on: RequestOverdue asks.
func (t *Table) ConfirmedEverywhere(now time.Duration, shard Shard, revision uint64) bool {
	everywhere := t.allNodes(shard, func(row confirmation) bool { return row.revision >= revision })
	if !everywhere {
		t.await(shard, awaitedRevision{revision: revision, since: now})
	}
	return everywhere
}

// DrainedEverywhere reports whether no node has a request left on a replica that the given
// revision keeps requests from. If one has, the leader waits for it from now on.
func (t *Table) DrainedEverywhere(now time.Duration, shard Shard, revision uint64) bool {
	everywhere := t.formerIncarnationsQuiesced(shard) &&
		t.allNodes(shard, func(row confirmation) bool { return row.drained >= revision })
	if !everywhere {
		t.await(shard, awaitedRevision{drained: revision, since: now})
	}
	return everywhere
}

// await records that a revision was not confirmed, or not drained, everywhere. What is
// newer than the oldest open wait has to wait for the next one, so that a node is asked
// only for what it had the time to confirm by itself.
func (t *Table) await(shard Shard, awaited awaitedRevision) {
	if _, open := t.awaited[shard.ID()]; !open {
		t.awaited[shard.ID()] = awaited
	}
}

// formerIncarnationsQuiesced reports whether no request is on its way any more that a
// registered node sent in an earlier incarnation, which no confirmation tells of. Nodes
// that go on serving while partitioned promise nothing of that kind.
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

// allNodes reports whether each registered node satisfies a condition in its registered
// incarnation, or is certain to serve nothing in that one any more; or each live node,
// where nodes go on serving while partitioned.
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

// allLiveNodes reports whether each node that nothing speaks against satisfies a condition
// in its present incarnation.
func (t *Table) allLiveNodes(shard Shard, satisfied func(confirmation) bool) bool {
	for _, record := range t.members.Records() {
		if t.members.Alive(record.Info.ID) && !satisfied(t.ofIncarnation(shard, record.Info)) {
			return false
		}
	}
	return true
}

// ofIncarnation is what the present incarnation of a node has confirmed.
func (t *Table) ofIncarnation(shard Shard, info member.Info) confirmation {
	row := t.byNode[key{shard: shard.ID(), node: info.ID}]
	if row.incarnation < info.Incarnation {
		return confirmation{}
	}
	return row
}

// hasConfirmed reports whether an incarnation of a node has confirmed anything.
func (t *Table) hasConfirmed(shard Shard, info member.Info) bool {
	row, found := t.byNode[key{shard: shard.ID(), node: info.ID}]
	return found && row.incarnation >= info.Incarnation
}

// serves reports whether an incarnation of a node has confirmed a revision or a later one.
func (t *Table) serves(shard Shard, info member.Info, revision uint64) bool {
	row := t.byNode[key{shard: shard.ID(), node: info.ID}]
	return row.incarnation >= info.Incarnation && row.revision >= revision
}

// RequestOverdue asks the nodes that have not confirmed for a while what the leader of a
// shard waits for. So a lost message costs little time, as does a new leader that was
// not there when the nodes confirmed.
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

// requestRegistered asks each node that may still serve without what is overdue. Where nodes
// register they confirm to all nodes with disks and need not learn who leads, so that the
// request carries no term.
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

// requestLive asks each live node that has not confirmed what is overdue.
func (t *Table) requestLive(shard Shard, overdue awaitedRevision) {
	for _, record := range t.members.Records() {
		row := t.ofIncarnation(shard, record.Info)
		if t.members.Alive(record.Info.ID) && (row.revision < overdue.revision || row.drained < overdue.drained) {
			t.request(shard, record.Info.ID)
		}
	}
}

// request asks a node what it serves, and tells it who leads the shard.
func (t *Table) request(shard Shard, id member.ID) {
	t.transport.Send(id, protocol.Message{
		Type:  protocol.MessageConfirmRequest,
		Shard: shard.ID(),
		Term:  shard.Term(),
	})
}
