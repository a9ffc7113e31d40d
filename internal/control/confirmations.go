package control

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// confirmation is what a node said of one shard in its present life.
type confirmation struct {
	incarnation member.Incarnation
	revision    uint64
	drained     uint64
}

// confirmationKey names a confirmation.
type confirmationKey struct {
	shard uint32
	node  member.ID
}

// confirmations are what the nodes said they serve. Every member of a shard's
// group keeps them, so that a new owner need not ask.
type confirmations struct {
	rows map[confirmationKey]confirmation
	// sent and published are this node's own revisions.
	sent      map[uint32]protocol.ShardRevision
	published map[uint32]uint64
}

func newConfirmations() confirmations {
	return confirmations{
		rows:      map[confirmationKey]confirmation{},
		sent:      map[uint32]protocol.ShardRevision{},
		published: map[uint32]uint64{},
	}
}

// record keeps the highest revisions of a node's newest life.
func (c *confirmations) record(from member.ID, message protocol.Message) {
	for _, revision := range message.Revisions {
		key := confirmationKey{shard: revision.Shard, node: from}
		known := c.rows[key]
		if message.Incarnation < known.incarnation {
			continue
		}
		if message.Incarnation > known.incarnation {
			known = confirmation{incarnation: message.Incarnation}
		}
		known.revision = max(known.revision, revision.Revision)
		known.drained = max(known.drained, revision.Drained)
		c.rows[key] = known
	}
}

// forgetOlder drops what an earlier life of a node confirmed.
func (c *confirmations) forgetOlder(shardID uint32, node member.ID, incarnation member.Incarnation) {
	key := confirmationKey{shard: shardID, node: node}
	if known, found := c.rows[key]; found && known.incarnation < incarnation {
		delete(c.rows, key)
	}
}

// tickConfirmations tells the nodes with disks what this node serves, when it
// has changed and from time to time in case a message was lost.
func (m *Machine) tickConfirmations() {
	due := m.now >= m.nextBeat
	if !m.updateOwnConfirmation() && !due {
		return
	}
	m.nextBeat = m.now + m.config.Times.ConfirmEvery
	m.sendConfirmation()
}

// updateOwnConfirmation reads what traffic uses by now and tells whether it has
// changed.
func (m *Machine) updateOwnConfirmation() bool {
	changed := false
	for _, id := range m.shardIDs {
		previous := m.confirmed.sent[id]
		current := protocol.ShardRevision{Shard: id, Revision: m.confirmed.published[id], Drained: previous.Drained}
		if current.Revision > current.Drained && m.drainedAt(id) {
			current.Drained = current.Revision
		}
		if current != previous {
			m.confirmed.sent[id] = current
			changed = true
		}
	}
	return changed
}

// drainedAt tells whether no request of this node runs on a replica that the
// newest state of a shard keeps requests from. Traffic counts a request before
// it reads the view for the last time, so that a zero read after the view was
// published stays true.
func (m *Machine) drainedAt(shardID uint32) bool {
	state := m.held.services[shardID]
	for _, replica := range state.GetReplicas() {
		if replica.GetPhase() == controlpb.ReplicaPhase_SERVING {
			continue
		}
		if m.load.InFlight(replica.GetAddress()) > 0 {
			return false
		}
	}
	return true
}

// sendConfirmation sends this node's revisions to every node with a disk.
func (m *Machine) sendConfirmation() {
	message := protocol.Message{Type: protocol.MessageConfirm, Incarnation: m.selfIncarnation()}
	for _, id := range m.shardIDs {
		message.Revisions = append(message.Revisions, m.confirmed.sent[id])
	}
	for _, id := range m.config.Group {
		if m.reachable(id) {
			m.sendControl(id, message)
		}
	}
}

// confirmedEverywhere tells whether no node can still serve a revision of the
// shard below the given one.
func (m *Machine) confirmedEverywhere(hosted *shard, revision uint64) bool {
	return m.everyNode(hosted, func(row confirmation) bool { return row.revision >= revision })
}

// drainedEverywhere tells whether no node has a request left on a replica that
// the given revision keeps requests from.
func (m *Machine) drainedEverywhere(hosted *shard, revision uint64) bool {
	return m.everyNode(hosted, func(row confirmation) bool { return row.drained >= revision })
}

// everyNode tells whether each registered node satisfies a condition in its
// registered life, or is certain to serve nothing in that life any more.
func (m *Machine) everyNode(hosted *shard, satisfied func(confirmation) bool) bool {
	for _, node := range hosted.state.Nodes() {
		id := member.ID(node.GetNode())
		incarnation := member.Incarnation(node.GetIncarnation())
		row := m.confirmed.rows[confirmationKey{shard: hosted.id, node: id}]
		if row.incarnation == incarnation && satisfied(row) {
			continue
		}
		if !m.lifeIsOver(id, incarnation) {
			return false
		}
	}
	return true
}

// lifeIsOver tells whether a node is certain not to serve under a life again:
// its monitors have fenced that life, or the node itself announced a newer one.
func (m *Machine) lifeIsOver(id member.ID, incarnation member.Incarnation) bool {
	current, known := m.members.Incarnation(id)
	if !known || current < incarnation {
		return false
	}
	return current > incarnation || m.members.CertainlyFenced(id)
}

// forgetEndedLives removes registered lives that are over, while the evidence
// is at hand, so that a later owner does not wait for them.
func (m *Machine) forgetEndedLives(hosted *shard) {
	for _, node := range hosted.state.Nodes() {
		if !m.lifeIsOver(member.ID(node.GetNode()), member.Incarnation(node.GetIncarnation())) {
			continue
		}
		forget := &controlpb.ForgetNode{Node: node.GetNode(), Incarnation: node.GetIncarnation()}
		m.proposeCommand(hosted, &controlpb.Command{Command: &controlpb.Command_ForgetNode{ForgetNode: forget}})
		return
	}
}
