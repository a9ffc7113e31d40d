package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
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
// group keeps them, so that a new leader need not ask.
type confirmations struct {
	byNode map[confirmationKey]confirmation
	// local and published are this node's own revisions.
	local     map[uint32]protocol.ShardRevision
	published map[uint32]uint64
	// incarnation is the life of this node that sent belongs to.
	incarnation member.Incarnation
}

func newConfirmations() confirmations {
	return confirmations{
		byNode:    map[confirmationKey]confirmation{},
		local:     map[uint32]protocol.ShardRevision{},
		published: map[uint32]uint64{},
	}
}

// record keeps the highest revisions of a node's newest life.
func (c *confirmations) record(from member.ID, message protocol.Message) {
	for _, revision := range message.Revisions {
		key := confirmationKey{shard: revision.Shard, node: from}
		known := c.byNode[key]
		if message.Incarnation < known.incarnation {
			continue
		}
		if message.Incarnation > known.incarnation {
			known = confirmation{incarnation: message.Incarnation}
		}
		known.revision = max(known.revision, revision.Revision)
		known.drained = max(known.drained, revision.Drained)
		c.byNode[key] = known
	}
}

// forgetOlder drops what an earlier life of a node confirmed.
func (c *confirmations) forgetOlder(shardID uint32, node member.ID, incarnation member.Incarnation) {
	key := confirmationKey{shard: shardID, node: node}
	if known, found := c.byNode[key]; found && known.incarnation < incarnation {
		delete(c.byNode, key)
	}
}

// tickConfirmations tells the nodes with disks what this node serves, when it
// has changed and now and then, and asks for confirmations that are overdue.
func (m *Machine) tickConfirmations() {
	m.requestOverdue()
	due := m.now >= m.nextConfirmation
	if !m.updateLocalConfirmation() && !due {
		return
	}
	m.sendConfirmation()
}

// updateLocalConfirmation reads what traffic uses by now and tells whether it has
// changed.
func (m *Machine) updateLocalConfirmation() bool {
	changed := m.confirmations.incarnation != m.selfIncarnation()
	m.confirmations.incarnation = m.selfIncarnation()
	for _, id := range m.shardIDs {
		previous := m.confirmations.local[id]
		current := protocol.ShardRevision{Shard: id, Revision: m.confirmations.published[id], Drained: previous.Drained}
		if current.Revision > current.Drained && m.drainedAt(id) {
			current.Drained = current.Revision
		}
		if current != previous {
			m.confirmations.local[id] = current
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
	state := m.received.Service(shardID)
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

// localConfirmation holds this node's revisions.
func (m *Machine) localConfirmation() protocol.Message {
	message := protocol.Message{Type: protocol.MessageConfirm, Incarnation: m.selfIncarnation()}
	for _, id := range m.shardIDs {
		message.Revisions = append(message.Revisions, m.confirmations.local[id])
	}
	return message
}

// sendConfirmation sends this node's revisions to every node with a disk.
func (m *Machine) sendConfirmation() {
	m.nextConfirmation = m.now + confirmRepeat*m.config.Times.ConfirmEvery
	message := m.localConfirmation()
	for _, id := range m.confirmationReceivers() {
		if m.reachable(id) {
			m.sendControl(id, message)
		}
	}
}

// confirmationReceivers are the nodes with disks; or the leaders of shards alone,
// where leaders ask every node when they begin.
func (m *Machine) confirmationReceivers() []member.ID {
	if !m.config.FailOpen {
		return m.groupOf(ConfigurationShard)
	}
	var leaders []member.ID
	for _, id := range m.shardIDs {
		if leader := m.leaders.Known(id); leader != "" && !contains(leaders, leader) {
			leaders = append(leaders, leader)
		}
	}
	return leaders
}

// awaitedRevision is what a leader waits for since some time: that the nodes serve a
// revision, or have drained it.
type awaitedRevision struct {
	revision uint64
	drained  uint64
	since    time.Duration
}

// awaitRevision notes that a revision was not confirmed, or not drained, everywhere. What
// is newer than the oldest open wait has to wait for the next one, so that a
// node is asked only for what it had the time to confirm by itself.
func (m *Machine) awaitRevision(hosted *shard, revision, drained uint64) {
	if hosted.awaited == (awaitedRevision{}) {
		hosted.awaited = awaitedRevision{revision: revision, drained: drained, since: m.now}
	}
}

// requestOverdue asks the nodes that have not confirmed for a while what the leader of
// a shard waits for. So a lost message costs little time, as does a new leader
// that was not there when the nodes confirmed.
func (m *Machine) requestOverdue() {
	for _, id := range m.shardIDs {
		hosted := m.shards[id]
		if hosted == nil || hosted.awaited == (awaitedRevision{}) || m.now-hosted.awaited.since < m.config.Times.ConfirmEvery {
			continue
		}
		overdue := hosted.awaited
		hosted.awaited = awaitedRevision{}
		if hosted.isLeader() {
			m.requestConfirmations(hosted, overdue)
		}
	}
}

// requestConfirmations asks each node that may still serve without what is overdue.
func (m *Machine) requestConfirmations(hosted *shard, overdue awaitedRevision) {
	if m.config.FailOpen {
		m.requestLiveConfirmations(hosted, overdue)
		return
	}
	for _, node := range hosted.state.Nodes() {
		id := member.ID(node.GetNode())
		incarnation := member.Incarnation(node.GetIncarnation())
		row := m.confirmations.byNode[confirmationKey{shard: hosted.id, node: id}]
		current := row.incarnation == incarnation && row.revision >= overdue.revision && row.drained >= overdue.drained
		if !current && !m.members.IncarnationEnded(id, incarnation) {
			m.sendControl(id, protocol.Message{Type: protocol.MessageConfirmRequest, Shard: hosted.id})
		}
	}
}

// confirmedEverywhere tells whether no node can still serve a revision of the
// shard below the given one.
func (m *Machine) confirmedEverywhere(hosted *shard, revision uint64) bool {
	everywhere := m.allNodes(hosted, func(row confirmation) bool { return row.revision >= revision })
	if !everywhere {
		m.awaitRevision(hosted, revision, 0)
	}
	return everywhere
}

// drainedEverywhere tells whether no node has a request left on a replica that
// the given revision keeps requests from.
func (m *Machine) drainedEverywhere(hosted *shard, revision uint64) bool {
	everywhere := m.formerIncarnationsDrained(hosted) &&
		m.allNodes(hosted, func(row confirmation) bool { return row.drained >= revision })
	if !everywhere {
		m.awaitRevision(hosted, 0, revision)
	}
	return everywhere
}

// formerIncarnationsDrained tells whether no request is on its way any more that a
// registered node sent in an earlier life, which no confirmation tells of. Nodes that
// go on serving while cut off promise nothing of that kind.
func (m *Machine) formerIncarnationsDrained(hosted *shard) bool {
	if m.config.FailOpen {
		return true
	}
	for _, node := range hosted.state.Nodes() {
		if !m.members.FormerIncarnationQuiesced(member.ID(node.GetNode())) {
			return false
		}
	}
	return true
}

// requestLiveConfirmations asks each live node that has not confirmed what is overdue.
func (m *Machine) requestLiveConfirmations(hosted *shard, overdue awaitedRevision) {
	for _, record := range m.members.Records() {
		row := m.liveConfirmation(hosted, record)
		if m.members.Alive(record.Info.ID) && (row.revision < overdue.revision || row.drained < overdue.drained) {
			m.requestConfirmation(hosted, record.Info.ID)
		}
	}
}

// liveConfirmation is what the present life of a node has confirmed.
func (m *Machine) liveConfirmation(hosted *shard, record membership.Record) confirmation {
	row := m.confirmations.byNode[confirmationKey{shard: hosted.id, node: record.Info.ID}]
	if row.incarnation < record.Info.Incarnation {
		return confirmation{}
	}
	return row
}

// allLiveNodes tells whether each node that nothing speaks against satisfies a
// condition in its present life.
func (m *Machine) allLiveNodes(hosted *shard, satisfied func(confirmation) bool) bool {
	for _, record := range m.members.Records() {
		if m.members.Alive(record.Info.ID) && !satisfied(m.liveConfirmation(hosted, record)) {
			return false
		}
	}
	return true
}

// allNodes tells whether each registered node satisfies a condition in its
// registered life, or is certain to serve nothing in that life any more; or each
// live node, where nodes go on serving while cut off.
func (m *Machine) allNodes(hosted *shard, satisfied func(confirmation) bool) bool {
	if m.config.FailOpen {
		return m.allLiveNodes(hosted, satisfied)
	}
	for _, node := range hosted.state.Nodes() {
		id := member.ID(node.GetNode())
		incarnation := member.Incarnation(node.GetIncarnation())
		row := m.confirmations.byNode[confirmationKey{shard: hosted.id, node: id}]
		if row.incarnation == incarnation && satisfied(row) {
			continue
		}
		if !m.members.IncarnationEnded(id, incarnation) {
			return false
		}
	}
	return true
}

// pruneNodes looks for registered incarnations that have ended, now and then in each
// term in which this node leads a shard.
func (m *Machine) pruneNodes(hosted *shard, term uint64) {
	if hosted.prunedTerm == term && m.now < hosted.nextPrune {
		return
	}
	hosted.prunedTerm = term
	hosted.nextPrune = m.now + m.config.Times.RetryEvery
	m.forgetEndedIncarnations(hosted)
}

// forgetEndedIncarnations removes registered lives that are over, while the evidence
// is at hand, so that a later leader does not wait for them.
func (m *Machine) forgetEndedIncarnations(hosted *shard) {
	for _, node := range hosted.state.Nodes() {
		id := member.ID(node.GetNode())
		if !m.members.IncarnationEnded(id, member.Incarnation(node.GetIncarnation())) || !m.members.FormerIncarnationQuiesced(id) {
			continue
		}
		forget := &controlpb.ForgetNode{Node: node.GetNode(), Incarnation: node.GetIncarnation()}
		m.proposeCommand(hosted, &controlpb.Command{Command: &controlpb.Command_ForgetNode{ForgetNode: forget}})
		return
	}
}
