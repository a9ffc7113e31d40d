package control

import (
	"slices"

	"github.com/ridgeswitch/ridgeswitch/internal/control/confirmation"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// newConfirmations returns what this node keeps of revisions served by itself and by
// others, and the dissemination that rests on it.
func (m *Machine) newConfirmations() (*confirmation.Local, *confirmation.Table, *confirmation.Disseminator) {
	every := m.config.Times.ConfirmEvery
	local := confirmation.NewLocal(m.shardIDs, confirmRepeat*every)
	config := confirmation.TableConfig{RequestEvery: every, FailOpen: m.config.FailOpen}
	table := confirmation.NewTable(config, m.members, transport{m})
	disseminator := confirmation.NewDisseminator(m.config.Self.ID, m.members, table, func(to member.ID, shardID uint32) {
		m.sendRelay(m.relay.Feed(to, relaytree.Topic(shardID)))
	})
	return local, table, disseminator
}

// tickConfirmations asks for confirmations that are overdue, and tells others what this
// node serves when that has changed and now and then.
func (m *Machine) tickConfirmations() {
	for _, id := range m.shardIDs {
		if hosted := m.shards[id]; hosted != nil {
			m.confirmations.RequestOverdue(m.now, m.hostedOf(hosted))
		}
	}
	due := m.served.Due(m.now)
	if m.updateServed() || due {
		m.sendConfirmation()
	}
}

// updateServed reads what traffic uses by now and reports whether it has changed.
func (m *Machine) updateServed() bool {
	return m.served.Update(m.members.incarnation(), m.drained)
}

// drained reports whether no request of this node runs on a replica that the newest state
// of a shard keeps requests from. Traffic counts a request before it reads the view for the
// last time, so that a zero read after the view was published stays true. (publishView
// reads it before the driver has stored the view; docs/ROADMAP.md lists that.)
func (m *Machine) drained(shardID uint32) bool {
	for _, replica := range m.received.Service(shardID).GetReplicas() {
		serving := replica.GetPhase() == controlpb.ReplicaPhase_SERVING
		if !serving && m.load.InFlight(replica.GetAddress()) > 0 {
			return false
		}
	}
	return true
}

// sendConfirmation sends this node's revisions to all that need them.
func (m *Machine) sendConfirmation() {
	m.served.Sent(m.now)
	message := m.served.Message(m.members.incarnation())
	for _, id := range m.confirmationReceivers() {
		if m.members.reachable(id) {
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
	var receivers []member.ID
	for _, id := range m.shardIDs {
		if leader := m.leaders.Known(id); leader != "" && !slices.Contains(receivers, leader) {
			receivers = append(receivers, leader)
		}
	}
	return receivers
}

// receiveConfirmRequest answers a leader, and records that it is one.
func (m *Machine) receiveConfirmRequest(from member.ID, message protocol.Message) {
	if message.Term > 0 && message.Term >= m.recovery.ObservedTerm(message.Shard) {
		m.recovery.ObserveTerm(message.Shard, message.Term)
		m.leaders.Learn(message.Shard, from)
	}
	m.sendControl(from, m.served.Message(m.members.incarnation()))
}

// tickDissemination brings the newest states of shards to nodes that the relay tree did
// not reach in time, where no registry tells which nodes there are.
func (m *Machine) tickDissemination() {
	if !m.config.FailOpen {
		return
	}
	for _, id := range m.shardIDs {
		if hosted := m.shards[id]; hosted != nil && hosted.IsLeader() && hosted.Group().BarrierApplied() {
			m.disseminator.Tick(m.now, m.hostedOf(hosted))
		}
	}
}
