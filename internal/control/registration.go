package control

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/registration"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shards"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// newRegistration returns both sides of the registration of nodes.
func (m *Machine) newRegistration() (*registration.Client, *registration.Registrar) {
	retryEvery := m.config.Times.RetryEvery
	client := registration.NewClient(m.shardIDs, retryEvery, transport{m}, m.numbers, m.leaders, m.received)
	return client, registration.NewRegistrar(m.config.Self.ID, retryEvery, transport{m}, m.numbers, m.leaders)
}

// tickRegistration asks the leaders to count this node. A fenced node does not ask: it
// takes a new incarnation first. Where nodes go on serving while partitioned, none needs to
// be counted.
func (m *Machine) tickRegistration() {
	if !m.config.FailOpen && !m.members.Fenced(m.now) {
		m.registration.Tick(m.now, m.members.incarnation())
	}
}

// receiveRegisterReply handles the reply of a leader to this node's registration.
func (m *Machine) receiveRegisterReply(from member.ID, message protocol.Message) {
	result := m.registration.ReceiveReply(m.now, from, message, m.members.incarnation())
	if result.LaterIncarnation != 0 {
		m.sendMembership(m.members.AdvanceIncarnationPast(m.now, result.LaterIncarnation))
	}
	m.recovery.ObserveTerm(message.Shard, result.Term)
	m.viewStale = m.viewStale || result.Changed
}

// registered reports whether this node may serve under a shard. Where nodes go on
// serving while partitioned, nothing has to be known of a node before it serves.
func (m *Machine) registered(shardID uint32) bool {
	return m.config.FailOpen || m.registration.Registered(shardID, m.members.incarnation())
}

// pruneNodes has a registered incarnation that has ended forgotten, so that a later
// leader does not wait for it.
func (m *Machine) pruneNodes(hosted *shards.Shard) {
	if ended := m.registrar.Prune(m.now, m.hostedOf(hosted), m.members); ended != nil {
		hosted.ProposeCommand(m.now, &controlpb.Command{Command: &controlpb.Command_ForgetNode{ForgetNode: ended}})
	}
}
