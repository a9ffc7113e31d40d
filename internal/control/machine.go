// Package control is the control state of a node as one state machine. Inputs
// are messages, elapsed time, operators' orders, finished writes and what is
// known of back ends; the outputs are messages to send, records to write,
// answers, commands to replicas, and a new view for traffic. The machine itself
// does no I/O, starts no goroutine and reads no clock, so that the daemon's
// driver and a simulator run the same code.
package control

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// Send is a message for another node. Address is used when To is empty, as with
// seeds whose ID is not known.
type Send struct {
	To       member.ID
	Address  string
	Envelope wire.Envelope
}

// Save is what a shard has to write. The driver calls Saved when it is durable.
type Save struct {
	Shard uint32
	Ready replication.Ready
	// Checkpoint, if set, replaces everything written before; Ready is empty.
	Checkpoint *replication.Restored
}

// Reply answers an order that this node took.
type Reply struct {
	Ticket uint64
	Answer *controlpb.Answer
	Err    error
}

// Command orders a replica to load weights. The driver sends it only if the
// clock still reads less than Deadline, since the right to command ends then.
type Command struct {
	Address       string
	WeightVersion string
	// Epoch grows with every later right to command, and with every later
	// decision under the same right.
	Epoch    uint64
	Deadline time.Duration
}

// Output is what a node has to do after an input.
type Output struct {
	Sends    []Send
	Saves    []Save
	Replies  []Reply
	Commands []Command
	// View is set when traffic is to use a new view.
	View *routing.View
}

// Machine is the control state machine of one node. It is not safe for
// concurrent use: one goroutine owns it.
type Machine struct {
	config    Config
	now       time.Duration
	members   *membership.Machine
	relay     *relaytree.Machine
	shards    map[uint32]*shard
	shardIDs  []uint32
	orders    orderBook
	registry  registrar
	confirmed confirmations
	backends  backends
	load      routing.LoadReader
	held      heldState
	output    Output
	// incomplete is set when a relayed state could not be decoded.
	incomplete bool
	nextTry    uint64
	lastOwners map[uint32]member.ID
	// challenges are the numbers that nodes are to send back to this one.
	challenges  map[challengeKey]challenge
	epochs      map[uint32]knownEpoch
	nextRollout time.Duration
	nextBeat    time.Duration
	// tableDigest, membersDigest and addresses follow the table of members.
	tableDigest   uint64
	membersDigest uint64
	addresses     map[member.ID]string
}

// heldState is the newest state of every shard that reached this node.
type heldState struct {
	configuration *ridgeswitchv1.Configuration
	services      map[uint32]*controlpb.ServiceState
	revisions     map[uint32]uint64
	decoders      map[uint32]*sectionDecoder
}

// New returns the machine of a node. Restored holds what the node's disk kept of
// each shard; shards that this node's group order names are hosted even when
// nothing was kept.
func New(config Config, restored map[uint32]replication.Restored, load routing.LoadReader, now time.Duration) (*Machine, error) {
	machine := &Machine{
		config:     config,
		now:        now,
		shards:     map[uint32]*shard{},
		load:       load,
		nextTry:    uint64(config.Self.Incarnation) << requestBits,
		lastOwners: map[uint32]member.ID{},
		challenges: map[challengeKey]challenge{},
		epochs:     map[uint32]knownEpoch{},
		addresses:  map[member.ID]string{},
		held: heldState{
			configuration: &ridgeswitchv1.Configuration{},
			services:      map[uint32]*controlpb.ServiceState{},
			revisions:     map[uint32]uint64{},
			decoders:      map[uint32]*sectionDecoder{},
		},
		confirmed: newConfirmations(),
		backends:  newBackends(),
		orders:    newOrderBook(),
	}
	for id := uint32(0); id <= config.ServiceShards; id++ {
		machine.shardIDs = append(machine.shardIDs, id)
		if err := machine.hostShard(id, restored[id]); err != nil {
			return nil, err
		}
	}
	machine.registry = newRegistrar(machine.shardIDs)
	machine.members = membership.New(membership.Config{
		Self:           config.Self,
		Seeds:          config.Seeds,
		MonitorCount:   monitorCount,
		HeartbeatEvery: config.Times.HeartbeatEvery,
		FenceAfter:     config.Times.FenceAfter,
		FenceMargin:    config.Times.FenceMargin,
		ForgetAfter:    forgetAfter,
	}, now)
	machine.relay = relaytree.New(relaytree.Config{
		Self:        config.Self.ID,
		FanOut:      relayFanOut,
		DigestEvery: config.Times.DigestEvery,
	})
	return machine, nil
}

// hostShard starts the replica group member of a shard, if this node is in its
// group.
func (m *Machine) hostShard(id uint32, restored replication.Restored) error {
	group := m.config.GroupOfShard(id)
	if !contains(group, m.config.Self.ID) || !m.config.Self.HoldsState {
		return nil
	}
	hosted, err := newShard(id, group, m.config, restored, m.now)
	if err != nil {
		return errors.Wrapf(err, "start shard %d", id)
	}
	m.shards[id] = hosted
	return nil
}

// Tick advances time and does what is due.
func (m *Machine) Tick(now time.Duration) Output {
	m.now = now
	m.sendMembership(m.members.Tick(now))
	m.refreshMembers()
	for _, id := range m.shardIDs {
		if hosted := m.shards[id]; hosted != nil {
			hosted.group.Tick(now)
			m.pump(hosted)
		}
	}
	m.sendRelay(m.relay.Tick(now))
	m.tickRecoveries()
	m.tickRegistration()
	m.tickConfirmations()
	m.tickOrders()
	m.tickRollouts()
	return m.take()
}

// Receive handles a message of another node.
func (m *Machine) Receive(now time.Duration, envelope wire.Envelope) Output {
	m.now = now
	switch {
	case envelope.Membership != nil:
		m.sendMembership(m.members.Step(now, *envelope.Membership))
		m.refreshMembers()
	case envelope.Replication != nil:
		m.receiveReplication(envelope)
	case envelope.Relay != nil:
		sends, updates := m.relay.Step(now, envelope.From, *envelope.Relay)
		m.sendRelay(sends)
		m.hold(updates)
	case envelope.Control != nil:
		m.receiveControl(envelope.From, *envelope.Control)
	}
	return m.take()
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
	m.pump(hosted)
}

// Saved tells that a shard's outstanding write is durable.
func (m *Machine) Saved(now time.Duration, shardID uint32) Output {
	m.now = now
	if hosted := m.shards[shardID]; hosted != nil && hosted.saving {
		hosted.saving = false
		if hosted.checkpointing {
			hosted.checkpointing = false
		} else {
			m.finish(hosted, hosted.outstanding)
		}
		m.pump(hosted)
	}
	return m.take()
}

// Submit takes an operator's order. The Reply carries the ticket.
func (m *Machine) Submit(now time.Duration, ticket uint64, order *controlpb.Order) Output {
	m.now = now
	m.submitOrder(ticket, order)
	return m.take()
}

// Leave tells the others that this node stops, and hands its shards over.
func (m *Machine) Leave(now time.Duration) Output {
	m.now = now
	for _, id := range m.shardIDs {
		if hosted := m.shards[id]; hosted != nil {
			hosted.group.HandOver(now)
			m.pump(hosted)
		}
	}
	m.sendMembership(m.members.Leave(now))
	return m.take()
}

// pump carries out what a group is ready to do. A group has one write
// outstanding at most; messages and committed entries of that write wait for it.
func (m *Machine) pump(hosted *shard) {
	if hosted.checkpointDue && !hosted.saving {
		m.startCheckpoint(hosted)
	}
	for !hosted.saving && hosted.group.HasReady() {
		ready := hosted.group.Ready()
		if ready.MustSync() {
			hosted.saving = true
			hosted.outstanding = ready
			m.output.Saves = append(m.output.Saves, Save{Shard: hosted.id, Ready: ready})
			return
		}
		m.finish(hosted, ready)
	}
}

// startCheckpoint writes the compacted state in place of the whole log.
func (m *Machine) startCheckpoint(hosted *shard) {
	state := hosted.group.Checkpoint()
	hosted.checkpointDue = false
	hosted.checkpointing = true
	hosted.saving = true
	m.output.Saves = append(m.output.Saves, Save{Shard: hosted.id, Checkpoint: &state})
}

// finish sends and applies what a durable Ready allows.
func (m *Machine) finish(hosted *shard, ready replication.Ready) {
	for _, outbound := range ready.Messages {
		message := outbound.Message
		m.send(outbound.To, wire.Envelope{Shard: hosted.id, Replication: &message})
	}
	if ready.Snapshot != nil {
		m.restoreShard(hosted, ready.Snapshot)
	}
	for _, entry := range ready.Committed {
		m.applyEntry(hosted, entry)
	}
	hosted.group.Advance()
	hosted.compactWhenLong()
	m.publishOwned(hosted)
}

// applyEntry applies one committed entry and answers whoever waits for it.
func (m *Machine) applyEntry(hosted *shard, entry replication.Entry) {
	hosted.applied = entry.Index
	if entry.Kind == replication.EntryRestore {
		m.restoreShard(hosted, &replication.Snapshot{Index: entry.Index, Data: entry.Command})
		return
	}
	if entry.Kind != replication.EntryCommand {
		return
	}
	command := &controlpb.Command{}
	if err := proto.Unmarshal(entry.Command, command); err != nil {
		// Every member fails alike on the same bytes, so that skipping keeps
		// the copies equal.
		hosted.badEntries++
		return
	}
	answer := hosted.state.Apply(command)
	m.afterApply(hosted, entry.Index, command, answer)
}

// restoreShard replaces a shard's state by a snapshot.
func (m *Machine) restoreShard(hosted *shard, snapshot *replication.Snapshot) {
	if err := hosted.restore(snapshot); err != nil {
		hosted.badEntries++
	}
}

// publishOwned hands a shard's newest committed state to the relay tree when
// this node owns the shard.
func (m *Machine) publishOwned(hosted *shard) {
	if !hosted.group.BarrierApplied() {
		// What is applied until then may be about to give way to the state of a
		// group that was formed anew.
		return
	}
	revision := hosted.state.Revision()
	topic := relaytree.Topic(hosted.id)
	if revision <= m.relay.Revision(topic) {
		return
	}
	sections, err := hosted.state.Sections()
	if err != nil {
		hosted.badEntries++
		return
	}
	m.relay.SetRoot(topic, m.config.Self.ID)
	sends, updates := m.relay.Publish(topic, revision, sections)
	m.sendRelay(sends)
	m.hold(updates)
}

// refreshMembers passes on who is alive when that has changed.
func (m *Machine) refreshMembers() {
	if m.members.Digest() == m.tableDigest {
		return
	}
	m.tableDigest = m.members.Digest()
	records := m.members.Records()
	digest := digestOfMembers(records)
	if digest == m.membersDigest {
		return
	}
	m.membersDigest = digest
	for _, record := range records {
		m.addresses[record.Info.ID] = record.Info.Address
	}
	m.relay.SetMembers(liveMembers(records))
	for _, id := range m.shardIDs {
		if root := m.firstLive(id); root != "" {
			m.relay.SetRoot(relaytree.Topic(id), root)
		}
	}
}

// send queues a message for a node.
func (m *Machine) send(to member.ID, envelope wire.Envelope) {
	envelope.From = m.config.Self.ID
	m.output.Sends = append(m.output.Sends, Send{To: to, Address: m.addressOf(to), Envelope: envelope})
}

// sendControl queues a control message; one for this node itself is handled at
// once.
func (m *Machine) sendControl(to member.ID, message protocol.Message) {
	if to == m.config.Self.ID {
		m.receiveControl(to, message)
		return
	}
	m.send(to, wire.Envelope{Shard: message.Shard, Control: &message})
}

func (m *Machine) sendMembership(outbound []membership.Outbound) {
	for _, out := range outbound {
		message := out.Message
		address := out.Address
		if address == "" {
			address = m.addressOf(out.To)
		}
		envelope := wire.Envelope{From: m.config.Self.ID, Membership: &message}
		m.output.Sends = append(m.output.Sends, Send{To: out.To, Address: address, Envelope: envelope})
	}
}

func (m *Machine) sendRelay(outbound []relaytree.Outbound) {
	for _, out := range outbound {
		message := out.Message
		m.send(out.To, wire.Envelope{Relay: &message})
	}
}

// addressOf returns the internal address of a node, or "" while it is unknown.
func (m *Machine) addressOf(id member.ID) string { return m.addresses[id] }

// take returns what has been gathered and starts anew.
func (m *Machine) take() Output {
	m.followLife()
	m.publishView()
	output := m.output
	m.output = Output{}
	return output
}

// Now returns the time of the last input.
func (m *Machine) Now() time.Duration { return m.now }
