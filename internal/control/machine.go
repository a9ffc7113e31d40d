package control

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/confirmation"
	"github.com/ridgeswitch/ridgeswitch/internal/control/leaders"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/recovery"
	"github.com/ridgeswitch/ridgeswitch/internal/control/registration"
	"github.com/ridgeswitch/ridgeswitch/internal/control/requests"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shards"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/internal/control/view"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// Machine is the control state machine of one node. It composes the machines of single
// concerns. Of its own it has only the time of the last input, the output that it gathers,
// the platform's list as the node uses it and whether that is fresh, which restored states
// were published, and whether the view must be built anew. It is not safe for concurrent
// use: one goroutine owns it.
type Machine struct {
	config Config
	// now is the time of the last input.
	now    time.Duration
	output Output

	members *memberTable
	leaders *leaders.Directory
	relay   *relaytree.Machine

	// shardIDs are all shards, and shards those that this node hosts.
	shardIDs []uint32
	shards   map[uint32]*shards.Shard
	recovery *recovery.Machine

	// numbers are those of this node's requests to others.
	numbers        *protocol.Numbering
	requests       *requests.Client
	leaderRequests *requests.Leader

	registration *registration.Client
	registrar    *registration.Registrar

	served        *confirmation.Local
	confirmations *confirmation.Table
	disseminator  *confirmation.Disseminator

	rollout *rollout.Machine

	// endpoints keeps the platform's list on all nodes, backends is the list that this
	// node uses, and freshness whether it may serve by it.
	endpoints *listing.Machine
	backends  backends
	freshness endpointFreshness

	// received are the states that this node serves by, and load the requests of its
	// traffic on each replica.
	received *shardstate.Received
	load     routing.LoadReader
	views    *view.Builder
	// viewStale means that the view is to be built anew.
	viewStale bool
	// restoredPublished are the shards whose state from the disk has been published.
	restoredPublished map[uint32]bool
}

// New returns the machine of a node. Restored holds what the node's disk kept of
// each shard; shards that this node's group order names are hosted even when
// nothing was kept.
func New(config Config, restored map[uint32]replication.Restored, load routing.LoadReader, now time.Duration) (*Machine, error) {
	machine := &Machine{
		config:            config,
		now:               now,
		shards:            map[uint32]*shards.Shard{},
		load:              load,
		numbers:           protocol.NewNumbering(config.Self.Incarnation),
		views:             newViewBuilder(config),
		endpoints:         newEndpointsMachine(config, now),
		received:          shardstate.NewReceived(),
		backends:          newBackends(),
		viewStale:         true,
		restoredPublished: map[uint32]bool{},
	}
	machine.members = newMemberTable(config, now)
	machine.leaders = leaders.NewDirectory(shardDirectory{machine})
	machine.requests, machine.leaderRequests = machine.newRequests()
	for id := uint32(0); id <= config.ServiceShards; id++ {
		machine.shardIDs = append(machine.shardIDs, id)
		if err := machine.startShard(id, restored[id]); err != nil {
			return nil, err
		}
	}
	machine.registration, machine.registrar = machine.newRegistration()
	machine.served, machine.confirmations, machine.disseminator = machine.newConfirmations()
	machine.recovery = machine.newRecovery()
	machine.rollout = newRollout(config, machine.hostedIDs(), now)
	machine.relay = relaytree.New(relaytree.Config{
		Self:        config.Self.ID,
		FanOut:      relayFanOut,
		DigestEvery: config.Times.DigestEvery,
	})
	return machine, nil
}

// hostedIDs are the shards that this node hosts, in order.
func (m *Machine) hostedIDs() []uint32 {
	return slices.DeleteFunc(slices.Clone(m.shardIDs), func(id uint32) bool { return m.shards[id] == nil })
}

// Tick advances time and does what is due.
func (m *Machine) Tick(now time.Duration) Output {
	before := m.now
	m.now = now
	m.sendMembership(m.members.Tick(now))
	m.refreshMembers()
	for _, id := range m.shardIDs {
		if hosted := m.shards[id]; hosted != nil {
			hosted.Tick(now)
			m.publishRestored(hosted)
		}
	}
	m.followLeaders()
	m.sendRelay(m.relay.Tick(now))
	m.tickRecoveries()
	m.tickRegistration()
	m.tickConfirmations()
	m.tickDissemination()
	m.tickRequests()
	m.tickEndpoints()
	m.tickRollouts()
	m.viewStale = m.viewStale || m.views.DeadlinePassed(before, now)
	return m.takeOutput()
}

// Receive handles a message of another node.
func (m *Machine) Receive(now time.Duration, envelope wire.Envelope) Output {
	m.now = now
	switch {
	case envelope.Membership != nil:
		m.sendMembership(m.members.Step(now, *envelope.Membership))
		if m.members.refreshDue(now) {
			m.refreshMembers()
		}
	case envelope.Replication != nil:
		m.receiveReplication(envelope)
	case envelope.Relay != nil:
		sends, updates := m.relay.Step(now, envelope.From, *envelope.Relay)
		m.sendRelay(sends)
		m.receiveUpdates(updates)
	case envelope.Control != nil:
		m.receiveControl(envelope.From, *envelope.Control)
	}
	return m.takeOutput()
}

// receiveReplication passes a message to the group member it is for. A message
// that the group refuses is dropped: the sender repeats what matters.
func (m *Machine) receiveReplication(envelope wire.Envelope) {
	hosted := m.shards[envelope.Shard]
	if hosted == nil {
		return
	}
	if err := hosted.Group().Step(m.now, envelope.From, *envelope.Replication); err != nil {
		return
	}
	hosted.Process()
}

// StorageWritten reports that a shard's outstanding write is durable.
func (m *Machine) StorageWritten(now time.Duration, shardID uint32) Output {
	m.now = now
	if hosted := m.shards[shardID]; hosted != nil {
		hosted.Written()
	}
	return m.takeOutput()
}

// TransferLeadership hands the shards that this node leads over, which goes before a stop.
func (m *Machine) TransferLeadership(now time.Duration) Output {
	m.now = now
	m.transferLeadership()
	return m.takeOutput()
}

func (m *Machine) transferLeadership() {
	for _, id := range m.shardIDs {
		if hosted := m.shards[id]; hosted != nil {
			// An error means that this node does not lead the shard, or that no member
			// can succeed it. There is nothing to transfer then, or the group elects a
			// leader after its time-out.
			_ = hosted.Group().TransferLeadership(m.now)
			hosted.Process()
		}
	}
}

// Leave tells the others that this node stops, and hands its shards over.
func (m *Machine) Leave(now time.Duration) Output {
	m.now = now
	m.transferLeadership()
	m.sendMembership(m.members.Leave(now))
	return m.takeOutput()
}

// takeOutput returns what has been gathered and starts anew.
func (m *Machine) takeOutput() Output {
	if m.freshness.follow(m.now, m.members.incarnation()) {
		m.endpoints.RequestProof()
	}
	m.publishView()
	m.requests.Received(m.received.Configuration())
	output := m.output
	m.output = Output{}
	moves := m.rollout.Take()
	output.Replies = m.requests.TakeReplies()
	output.Commands, output.Reports = moves.Commands, moves.Reports
	return output
}

// Self describes this node. It is safe for concurrent use, as it never changes.
func (m *Machine) Self() member.Info { return m.config.Self }

// BadEntries counts the log entries, of all shards, that could not be decoded or
// encoded since the start.
func (m *Machine) BadEntries() uint64 {
	var count uint64
	for _, hosted := range m.shards {
		count += hosted.BadEntries()
	}
	return count
}

// Now returns the time of the last input.
func (m *Machine) Now() time.Duration { return m.now }
