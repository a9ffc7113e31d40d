package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/confirmation"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/leaders"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/recovery"
	"github.com/ridgeswitch/ridgeswitch/internal/control/registration"
	"github.com/ridgeswitch/ridgeswitch/internal/control/requests"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/internal/control/view"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Machine is the control state machine of one node. It composes the machines of the
// individual concerns: it passes each input to the machines that handle it, and collect
// gathers the outputs of all of them. The only state that Machine itself owns is the time of
// the input. It is not safe for concurrent use: one goroutine owns it.
type Machine struct {
	config Config
	clock  *clock
	outbox *outbox

	// members holds the live nodes and their addresses, and leaders the known leader of each
	// shard. shards holds this node's copies of shards, and host carries out their outputs.
	// states holds the newest state of every shard that reached this node, hosted or not.
	members *memberTable
	shards  *hostedShards
	host    *shardHost
	leaders *leaders.Directory
	states  *stateRelay

	// requests and registration send requests to the leaders of shards. leaderRequests and
	// registrar answer such requests for the shards that this node leads.
	requests       *requests.Client
	leaderRequests *requests.Leader
	registration   *localRegistration
	registrar      *registration.Registrar

	// localConfirmations confirms to other nodes which revisions this node serves,
	// confirmations records which revisions all nodes serve, and disseminator sends the
	// newest states to nodes that lag behind.
	localConfirmations *localConfirmations
	confirmations      *confirmation.Table
	disseminator       *confirmation.Disseminator

	// recovery recovers groups that lost the majority of their disks, rollout moves replicas
	// to other weights, endpoints holds the platform's endpoint list, and views builds the
	// view by which traffic is routed.
	recovery  *recovery.Machine
	rollout   *rollout.Machine
	endpoints *localEndpoints
	views     *viewRefresher
}

// clock holds the time of the input that is being handled, for methods that don't take the
// time as a parameter. Machine sets it.
type clock struct{ now time.Duration }

// Tick advances the time and performs the actions that are due.
func (m *Machine) Tick(now time.Duration) Output {
	before := m.clock.now
	return m.handle(now, func() {
		m.outbox.sendMembership(m.members.Tick(now))
		m.refreshMembers()
		for shard := range m.shards.all() {
			shard.Tick(now)
		}
		m.states.followLeaders()
		m.states.tick(now)
		m.recoverShards()
		m.registration.tick(now)
		m.requestConfirmations()
		m.localConfirmations.tick(now)
		m.disseminate()
		m.requests.Tick(now)
		m.leaderRequests.Tick(now, m.shards.forRequests(ConfigurationShard))
		m.endpoints.tick(now)
		m.advanceRollouts()
		m.views.checkDeadlines(before, now)
	})
}

// Receive handles a message of another node.
func (m *Machine) Receive(now time.Duration, envelope wire.Envelope) Output {
	return m.handle(now, func() {
		switch {
		case envelope.Membership != nil:
			m.outbox.sendMembership(m.members.Step(now, *envelope.Membership))
			if m.members.refreshDue(now) {
				m.refreshMembers()
			}
		case envelope.Replication != nil:
			m.shards.receive(envelope)
		case envelope.Relay != nil:
			m.states.receive(now, envelope.From, *envelope.Relay)
		case envelope.Control != nil:
			m.receiveControl(envelope.From, *envelope.Control)
		}
	})
}

// StorageWritten reports that a shard's outstanding write is durable.
func (m *Machine) StorageWritten(now time.Duration, shardID uint32) Output {
	return m.handle(now, func() {
		if shard, hosted := m.shards.find(shardID); hosted {
			shard.Written()
		}
	})
}

// Submit takes an operator's order. The Reply to it carries the ticket.
func (m *Machine) Submit(now time.Duration, ticket uint64, order *controlpb.Order) Output {
	return m.handle(now, func() { m.requests.Submit(now, ticket, order) })
}

// ReadSource requests the source document in force. The Reply carries the ticket
// and the document, which is empty if there is none.
func (m *Machine) ReadSource(now time.Duration, ticket uint64) Output {
	return m.handle(now, func() { m.requests.ReadSource(now, ticket) })
}

// ReadConfiguration requests the configuration in force. The leader returns its revision
// after a quorum has confirmed its leadership, and this node answers with its own copy once
// that has reached this revision. The Reply carries the ticket and the configuration.
func (m *Machine) ReadConfiguration(now time.Duration, ticket uint64) Output {
	return m.handle(now, func() { m.requests.ReadConfiguration(now, ticket) })
}

// Cancel ends an order or a read whose reply is no longer needed. It is not sent again, but
// may still take effect if it was sent already.
func (m *Machine) Cancel(now time.Duration, ticket uint64) Output {
	return m.handle(now, func() { m.requests.Cancel(ticket) })
}

// EndpointsRead takes the result of a reading of the endpoint list that an Output asked for.
func (m *Machine) EndpointsRead(now time.Duration, reading EndpointReading) Output {
	return m.handle(now, func() { m.endpoints.readDone(now, reading) })
}

// CommandDone takes the outcome of a command.
func (m *Machine) CommandDone(now time.Duration, command Command, outcome CommandOutcome) Output {
	return m.handle(now, func() { m.rollout.CommandDone(now, command, outcome) })
}

// SetReplicaReport takes the report of a replica.
func (m *Machine) SetReplicaReport(now time.Duration, report ReplicaReport) Output {
	return m.handle(now, func() { m.rollout.SetReport(now, report) })
}

// ReplicaReportFailed records that a replica that was asked for its report gave none.
func (m *Machine) ReplicaReportFailed(now time.Duration, address string) Output {
	return m.handle(now, func() { m.rollout.ReportFailed(now, address) })
}

// SetSeeds replaces the seeds of this node.
func (m *Machine) SetSeeds(now time.Duration, seeds []string) Output {
	return m.handle(now, func() { m.outbox.sendMembership(m.members.SetSeeds(now, seeds)) })
}

// TransferLeadership transfers the leadership of the shards that this node leads to other
// nodes. The driver calls it before the node stops.
func (m *Machine) TransferLeadership(now time.Duration) Output {
	return m.handle(now, func() { m.shards.transferLeadership(now) })
}

// Leave announces to other nodes that this node stops, and transfers the leadership of the
// shards that it leads.
func (m *Machine) Leave(now time.Duration) Output {
	return m.handle(now, func() {
		m.shards.transferLeadership(now)
		m.outbox.sendMembership(m.members.Leave(now))
	})
}

// handle sets the time of an input, handles the input and collects the resulting output.
func (m *Machine) handle(now time.Duration, input func()) Output {
	m.clock.now = now
	input()
	return m.collect()
}

// collect gathers what the node has to do after an input. The driver publishes the view
// before it sends the messages, which include the confirmation of the view's revisions.
// Nothing is therefore confirmed to other nodes before it is in force on this one.
func (m *Machine) collect() Output {
	now := m.clock.now
	m.endpoints.followIncarnation(now, m.members.incarnation())
	refreshed := m.refreshView()
	m.requests.AnswerReads(m.Configuration())
	moves := m.rollout.Take()
	return Output{
		Sends:         m.outbox.take(),
		Writes:        m.host.takeWrites(),
		Replies:       m.requests.TakeReplies(),
		Commands:      moves.Commands,
		Reports:       moves.Reports,
		ReadEndpoints: m.endpoints.takeReadRequest(),
		View:          refreshed,
	}
}

// refreshView returns a new view and confirms its revisions, or returns nil if the newest
// view is not stale.
func (m *Machine) refreshView() *routing.View {
	refreshed := m.views.refresh(m.clock.now, view.Inputs{
		Received:   m.states.received,
		Endpoints:  m.endpoints.inUse.services,
		Registered: m.registration.registered,
	})
	if refreshed != nil {
		m.localConfirmations.publish(m.clock.now)
	}
	return refreshed
}

// receiveControl passes a control message, from another node or from this node itself, to
// the machine that handles its type.
func (m *Machine) receiveControl(from member.ID, message protocol.Message) {
	now := m.clock.now
	switch message.Type {
	case protocol.MessageChange:
		m.leaderRequests.ReceiveChange(m.shards.forRequests(message.Shard), from, message)
	case protocol.MessageReadSource, protocol.MessageReadRevision:
		if m.leaderRequests.ReceiveRead(m.shards.forRequests(message.Shard), from, message) {
			m.shards.byID[message.Shard].Process()
		}
	case protocol.MessageChangeReply, protocol.MessageReadSourceReply, protocol.MessageReadRevisionReply:
		m.requests.ReceiveReply(now, from, message)
	case protocol.MessageRegister:
		m.registrar.Receive(m.shards.forRegistration(message.Shard), from, message)
	case protocol.MessageRegisterReply:
		m.registration.receiveReply(now, from, message)
	case protocol.MessageWitnessRequest:
		m.recovery.ReceiveRequest(from, message, m.members.incarnation())
	case protocol.MessageWitnessReply:
		m.recovery.ReceiveReply(from, message)
	case protocol.MessageConfirm:
		m.confirmations.Receive(from, message)
		m.rollout.Wake(now)
	case protocol.MessageConfirmRequest:
		m.localConfirmations.receiveRequest(from, message)
	case protocol.MessageEndpoints, protocol.MessageEndpointsRequest:
		m.endpoints.receive(now, from, message)
	}
}

// refreshMembers passes changes of the table of members on to the machines that depend on
// it.
func (m *Machine) refreshMembers() {
	now := m.clock.now
	tableChanged, liveChanged := m.members.refresh(now)
	if tableChanged {
		m.endpoints.machine.SetMembers(m.members.endpointReaders())
	}
	if !liveChanged {
		return
	}
	m.states.setMembers(m.members.relayMembers())
	if m.config.Seeded {
		peers := m.members.replicationPeers()
		for shard := range m.shards.all() {
			shard.Group().SetPeers(now, peers)
		}
	}
}

// recoverShards continues the recovery of the shards that this node is to recover.
func (m *Machine) recoverShards() {
	for shard := range m.shards.all() {
		// If a configuration exists, the deployment was set up. A group whose logs are all
		// empty has then lost its state, and is not a new one.
		if m.states.received.Revision(ConfigurationShard) > 0 {
			shard.Group().ExpectState()
		}
		changed, err := m.recovery.Tick(m.clock.now, shard)
		if err != nil {
			shard.CountBadEntry()
		}
		if changed {
			shard.Process()
		}
	}
}

// requestConfirmations requests the confirmations that are overdue.
func (m *Machine) requestConfirmations() {
	for shard := range m.shards.all() {
		m.confirmations.RequestOverdue(m.clock.now, shard)
	}
}

// disseminate sends the newest states of the shards that this node leads to nodes that the
// relay tree did not reach in time. It is needed only if FailOpen is set: nodes do not
// register then, so that no registry lists the nodes to reach.
func (m *Machine) disseminate() {
	if !m.config.FailOpen {
		return
	}
	for shard := range m.shards.all() {
		if shard.IsLeader() && shard.Group().BarrierApplied() {
			m.disseminator.Tick(m.clock.now, shard)
		}
	}
}
