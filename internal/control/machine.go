// Package control is the control state of a node as one state machine. Inputs
// are messages, elapsed time, operators' orders, finished writes and what is
// known of back ends; the outputs are messages to send, records to write,
// answers, commands to replicas, and a new view for traffic. The machine itself
// does no I/O, starts no goroutine and reads no clock, so that the daemon's
// driver and a simulator run the same code.
package control

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/control/confirmation"
	"github.com/ridgeswitch/ridgeswitch/internal/control/leaders"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/recovery"
	"github.com/ridgeswitch/ridgeswitch/internal/control/registration"
	"github.com/ridgeswitch/ridgeswitch/internal/control/requests"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/internal/control/view"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// Machine is the control state machine of one node. It is not safe for
// concurrent use: one goroutine owns it.
type Machine struct {
	config         Config
	now            time.Duration
	members        *membership.Machine
	relay          *relaytree.Machine
	shards         map[uint32]*shard
	shardIDs       []uint32
	requests       *requests.Client
	leaderRequests *requests.Leader
	leaders        *leaders.Directory
	numbers        *protocol.Numbering
	registration   *registration.Client
	registrar      *registration.Registrar
	served         *confirmation.Local
	confirmations  *confirmation.Table
	disseminator   *confirmation.Disseminator
	recovery       *recovery.Machine
	freshness      endpointFreshness
	backends       backends
	// viewStale tells that the view is to be built anew.
	viewStale bool
	rollout   *rollout.Machine
	endpoints *listing.Machine
	views     *view.Builder
	load      routing.LoadReader
	received  *shardstate.Received
	output    Output
	// tableDigest, membersDigest, addresses and zones follow the table of members.
	tableDigest   uint64
	membersDigest uint64
	// membersRefreshedAt is when the table was last looked at.
	membersRefreshedAt time.Duration
	addresses          map[member.ID]string
	zones              map[member.ID]string
	// coreNodes are the live nodes with disks, sorted.
	coreNodes []member.ID
}

// New returns the machine of a node. Restored holds what the node's disk kept of
// each shard; shards that this node's group order names are hosted even when
// nothing was kept.
func New(config Config, restored map[uint32]replication.Restored, load routing.LoadReader, now time.Duration) (*Machine, error) {
	machine := &Machine{
		config:    config,
		now:       now,
		shards:    map[uint32]*shard{},
		load:      load,
		numbers:   protocol.NewNumbering(config.Self.Incarnation),
		addresses: map[member.ID]string{},
		zones:     map[member.ID]string{},
		views:     newViewBuilder(config),
		endpoints: newEndpointsMachine(config, now),
		received:  shardstate.NewReceived(),
		backends:  newBackends(),
		viewStale: true,
	}
	machine.members = newMembership(config, now)
	machine.leaders = leaders.NewDirectory(shardDirectory{machine})
	machine.requests, machine.leaderRequests = machine.newRequests()
	for id := uint32(0); id <= config.ServiceShards; id++ {
		machine.shardIDs = append(machine.shardIDs, id)
		if err := machine.hostShard(id, restored[id]); err != nil {
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

// newMembership returns the table of members of a node.
func newMembership(config Config, now time.Duration) *membership.Machine {
	return membership.New(membership.Config{
		Self:           config.Self,
		Seeds:          config.Seeds,
		MonitorCount:   monitorCount,
		HeartbeatEvery: config.Times.HeartbeatEvery,
		FenceAfter:     config.Times.FenceAfter,
		FenceMargin:    config.Times.FenceMargin,
		ForgetAfter:    forgetAfter,
	}, now)
}

// hostShard starts the replica group member of a shard, if this node is in its
// group.
func (m *Machine) hostShard(id uint32, restored replication.Restored) error {
	if !m.config.hosts(id) {
		return nil
	}
	hosted, err := newShard(id, m.config.foundersOf(id), m.config, restored, m.now)
	if err != nil {
		return errors.Wrapf(err, "start shard %d", id)
	}
	m.shards[id] = hosted
	return nil
}

// Tick advances time and does what is due.
func (m *Machine) Tick(now time.Duration) Output {
	before := m.now
	m.now = now
	m.sendMembership(m.members.Tick(now))
	m.refreshMembers()
	m.membersRefreshedAt = now
	for _, id := range m.shardIDs {
		if hosted := m.shards[id]; hosted != nil {
			hosted.group.Tick(now)
			m.processReady(hosted)
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
		m.refreshMembersSoon()
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
	if err := hosted.group.Step(m.now, envelope.From, *envelope.Replication); err != nil {
		return
	}
	m.processReady(hosted)
}

// StorageWritten tells that a shard's outstanding write is durable.
func (m *Machine) StorageWritten(now time.Duration, shardID uint32) Output {
	m.now = now
	if hosted := m.shards[shardID]; hosted != nil && hosted.writing {
		hosted.writing = false
		if hosted.checkpointing {
			hosted.checkpointing = false
		} else {
			m.finishReady(hosted, hosted.outstanding)
		}
		m.processReady(hosted)
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
			// An error tells that this node does not lead the shard, or that no member
			// can succeed it. There is nothing to transfer then, or the group elects a
			// leader after its time-out.
			_ = hosted.group.TransferLeadership(m.now)
			m.processReady(hosted)
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

// refreshMembersSoon passes on who is alive at once, unless the table is large and that
// was done a moment ago: while many nodes start, nearly every message changes the table.
func (m *Machine) refreshMembersSoon() {
	if m.members.Size() > smallTable && m.now-m.membersRefreshedAt < DefaultTickEvery {
		return
	}
	m.refreshMembers()
	m.membersRefreshedAt = m.now
}

// refreshMembers passes on who is alive when that has changed.
func (m *Machine) refreshMembers() {
	if m.members.Digest() == m.tableDigest {
		return
	}
	m.tableDigest = m.members.Digest()
	records := m.members.Records()
	m.setEndpointReaders(records)
	digest := memberDigest(records)
	if digest == m.membersDigest {
		return
	}
	m.membersDigest = digest
	for _, record := range records {
		m.addresses[record.Info.ID] = record.Info.Address
		m.zones[record.Info.ID] = record.Info.Zone
	}
	m.relay.SetMembers(liveMembers(records))
	m.followCoreNodes(records)
	if m.config.Seeded {
		return
	}
	for _, id := range m.shardIDs {
		if root := m.leaders.First(id); root != "" {
			m.relay.SetRoot(relaytree.Topic(id), root)
		}
	}
}

// takeOutput returns what has been gathered and starts anew.
func (m *Machine) takeOutput() Output {
	if m.freshness.follow(m.now, m.selfIncarnation()) {
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

// SetSeeds takes over other seeds.
func (m *Machine) SetSeeds(now time.Duration, seeds []string) Output {
	m.now = now
	m.sendMembership(m.members.SetSeeds(now, seeds))
	return m.takeOutput()
}

// TableDigest summarises the table of members: nodes that hold the same records have
// the same.
func (m *Machine) TableDigest() uint64 { return m.members.Digest() }

// Members returns the records of the table of members; read only, and until the next
// input.
func (m *Machine) Members() []membership.Record { return m.members.Records() }

// Self describes this node. It is safe for concurrent use, as it never changes.
func (m *Machine) Self() member.Info { return m.config.Self }

// ZoneOf returns the zone of a node, or "" while it is unknown.
func (m *Machine) ZoneOf(id member.ID) string { return m.zones[id] }

// FenceCount counts how often this node has been fenced since its start.
func (m *Machine) FenceCount() uint64 { return m.members.FenceCount() }

// BadEntries counts the log entries, of all shards, that could not be decoded or
// encoded since the start.
func (m *Machine) BadEntries() uint64 {
	var count uint64
	for _, hosted := range m.shards {
		count += hosted.badEntries
	}
	return count
}

// Now returns the time of the last input.
func (m *Machine) Now() time.Duration { return m.now }
