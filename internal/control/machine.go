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

// Machine is the control state machine of one node. It composes the machines of single
// concerns: an input goes to those that it concerns, and collect gathers what all of them
// want done. Machine owns no state but the time of the input. It is not safe for concurrent
// use: one goroutine owns it.
type Machine struct {
	config Config
	clock  *clock
	outbox *outbox

	// members knows who is alive and where, and leaders which node leads each shard. shards
	// are this node's copies of shards, and host carries out what they are ready to do.
	// states has the newest state of every shard, hosted or not.
	members *memberTable
	shards  *hostedShards
	host    *shardHost
	leaders *leaders.Directory
	states  *stateRelay

	// requests and registration ask the leaders of shards on behalf of this node.
	// leaderRequests and registrar answer the same for the shards that this node leads.
	requests       *requests.Client
	leaderRequests *requests.Leader
	registration   *localRegistration
	registrar      *registration.Registrar

	// localConfirmations tells the leaders what this node serves, confirmations records what
	// all nodes serve, and disseminator brings the newest states to those that lag behind.
	localConfirmations *localConfirmations
	confirmations      *confirmation.Table
	disseminator       *confirmation.Disseminator

	// recovery forms groups anew that lost most of their disks, rollout moves replicas to
	// other weights, and endpoints has the platform's list. views builds what traffic is
	// routed by.
	recovery  *recovery.Machine
	rollout   *rollout.Machine
	endpoints *localEndpoints
	views     *viewRefresher
}

// clock is the time of the input that is being handled, for those that are called without
// one. Machine sets it.
type clock struct{ now time.Duration }

// Tick advances time and does what is due.
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

// Submit takes an operator's order. The Reply carries the ticket.
func (m *Machine) Submit(now time.Duration, ticket uint64, order *controlpb.Order) Output {
	return m.handle(now, func() { m.requests.Submit(now, ticket, order) })
}

// ReadSource asks for the source document in force. The Reply carries the ticket
// and the document, which is empty if there is none.
func (m *Machine) ReadSource(now time.Duration, ticket uint64) Output {
	return m.handle(now, func() { m.requests.ReadSource(now, ticket) })
}

// ReadConfiguration asks for the configuration in force. The leader tells its
// revision, as a quorum confirms it, and the node answers by its own copy once
// that is as new. The Reply carries the ticket and the configuration.
func (m *Machine) ReadConfiguration(now time.Duration, ticket uint64) Output {
	return m.handle(now, func() { m.requests.ReadConfiguration(now, ticket) })
}

// Cancel ends an order or a read whose reply nobody waits for any more: it is
// not sent again. What was sent already may still take effect.
func (m *Machine) Cancel(now time.Duration, ticket uint64) Output {
	return m.handle(now, func() { m.requests.Cancel(ticket) })
}

// EndpointsRead takes the outcome of a reading that an Output asked for.
func (m *Machine) EndpointsRead(now time.Duration, reading EndpointReading) Output {
	return m.handle(now, func() { m.endpoints.readDone(now, reading) })
}

// CommandDone takes the outcome of a command.
func (m *Machine) CommandDone(now time.Duration, command Command, outcome CommandOutcome) Output {
	return m.handle(now, func() { m.rollout.CommandDone(now, command, outcome) })
}

// SetReplicaReport takes what a replica reported of itself.
func (m *Machine) SetReplicaReport(now time.Duration, report ReplicaReport) Output {
	return m.handle(now, func() { m.rollout.SetReport(now, report) })
}

// ReplicaReportFailed reports that a replica gave no report.
func (m *Machine) ReplicaReportFailed(now time.Duration, address string) Output {
	return m.handle(now, func() { m.rollout.ReportFailed(now, address) })
}

// SetSeeds takes over other seeds.
func (m *Machine) SetSeeds(now time.Duration, seeds []string) Output {
	return m.handle(now, func() { m.outbox.sendMembership(m.members.SetSeeds(now, seeds)) })
}

// TransferLeadership hands the shards that this node leads over, which goes before a stop.
func (m *Machine) TransferLeadership(now time.Duration) Output {
	return m.handle(now, func() { m.shards.transferLeadership(now) })
}

// Leave tells the others that this node stops, and hands its shards over.
func (m *Machine) Leave(now time.Duration) Output {
	return m.handle(now, func() {
		m.shards.transferLeadership(now)
		m.outbox.sendMembership(m.members.Leave(now))
	})
}

// handle has an input handled at its time, and collects what follows from it.
func (m *Machine) handle(now time.Duration, input func()) Output {
	m.clock.now = now
	input()
	return m.collect()
}

// collect gathers what the node has to do after an input. The driver publishes the view
// before it sends the messages, and so the confirmation that follows from the view: nothing
// is confirmed to others before it is in force here.
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

// refreshView returns a new view, whose revisions this node confirms, or nil if nothing in
// the newest one has changed.
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

// receiveControl hands a control message of a node, or of this node itself, to the machine
// that it is for.
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

// refreshMembers passes on who is alive when that has changed.
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

// recoverShards goes on with the shards that this node is to form anew.
func (m *Machine) recoverShards() {
	for shard := range m.shards.all() {
		// A configuration shows that the deployment was set up, so that a group whose
		// logs are all empty has lost a state.
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

// requestConfirmations asks for confirmations that are overdue.
func (m *Machine) requestConfirmations() {
	for shard := range m.shards.all() {
		m.confirmations.RequestOverdue(m.clock.now, shard)
	}
}

// disseminate brings the newest states of shards to nodes that the relay tree did not reach
// in time, where no registry tells which nodes there are.
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
