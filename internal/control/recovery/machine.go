package recovery

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

const (
	// minWitnessSearch is the shortest duration of a search for witnesses: a node that has
	// just started does not know all others yet.
	minWitnessSearch = 500 * time.Millisecond
	// maxWitnessSearch is how long a search waits for live nodes that do not reply; then the
	// group is recovered without them.
	maxWitnessSearch = 1500 * time.Millisecond
)

// Shard is what a Machine needs of a shard that this node hosts.
type Shard interface {
	ID() uint32
	// State returns the state after all entries that have been applied; read only.
	State() shardstate.State
	// Unapplied returns the entries of the log that have not been applied. Each of them may
	// or may not be committed.
	Unapplied() []replication.Entry
	// RecoveryTerm returns the recovery term that this node has begun, and whether the node
	// is elected to recover the group under it.
	RecoveryTerm() (term uint64, elected bool)
	// RaiseRecoveryTerm repeats the election with a recovery term above the given term.
	RaiseRecoveryTerm(term uint64)
	// RecoverQuorum recovers the group under a recovery term with an encoded state.
	RecoverQuorum(term uint64, state []byte) error
}

// Members is what a Machine needs of the table of members.
type Members interface {
	Members() []membership.Record
}

// WitnessReply is what a witness reported of a shard: the revision of its state, the newest
// term that it had observed, and its own incarnation.
type WitnessReply struct {
	Revision    uint64
	Term        uint64
	Incarnation member.Incarnation
}

// witnessSearch is the search for the newest state of a shard for one recovery term.
type witnessSearch struct {
	term        uint64
	request     uint64
	startedAt   time.Duration
	nextAttempt time.Duration
	replies     map[member.ID]WitnessReply
}

// observedTerm is the newest term of a shard's group that this node has observed, and the
// witness request that it was observed in, if any.
type observedTerm struct {
	term    uint64
	from    member.ID
	request uint64
	// previous is the newest term that was observed before that request. The reply contains
	// previous, because the request's own term must not seem to be in use already.
	previous uint64
}

// Config configures a Machine.
type Config struct {
	Self member.ID
	// RetryEvery is the time between two requests to a witness that does not reply.
	RetryEvery time.Duration
	// RegisterNodes means that a recovered state registers every node that may serve.
	RegisterNodes bool
}

// Machine recovers shards on one node, and answers as a witness for other nodes.
type Machine struct {
	config    Config
	members   Members
	transport protocol.Transport
	numbers   *protocol.Numbering
	received  *shardstate.Received
	// sections returns the sections of the newest state that the relay tree delivered for a
	// shard.
	sections func(relaytree.Topic) []relaytree.Section
	searches map[uint32]*witnessSearch
	terms    map[uint32]observedTerm
}

// New returns the machine of a node. The function sections returns the sections of the newest
// state that the relay tree delivered.
func New(config Config, members Members, transport protocol.Transport, numbers *protocol.Numbering, received *shardstate.Received, sections func(relaytree.Topic) []relaytree.Section) *Machine {
	return &Machine{
		config:    config,
		members:   members,
		transport: transport,
		numbers:   numbers,
		received:  received,
		sections:  sections,
		searches:  map[uint32]*witnessSearch{},
		terms:     map[uint32]observedTerm{},
	}
}

// ObserveTerm records a term that is in use in a shard's group.
func (m *Machine) ObserveTerm(shardID uint32, term uint64) {
	if known := m.terms[shardID]; term > known.term {
		m.terms[shardID] = observedTerm{term: term}
	}
}

// ObservedTerm returns the newest term of a shard's group that this node has observed.
func (m *Machine) ObservedTerm(shardID uint32) uint64 { return m.terms[shardID].term }

// Tick advances the recovery of a shard if this node is elected for it, and reports whether
// the shard's group has changed. An error means that a state could not be decoded or encoded.
func (m *Machine) Tick(now time.Duration, shard Shard) (changed bool, err error) {
	term, elected := shard.RecoveryTerm()
	if !elected {
		delete(m.searches, shard.ID())
		return false, nil
	}
	search := m.searches[shard.ID()]
	if search == nil || search.term != term {
		search = &witnessSearch{
			term:      term,
			request:   m.numbers.Next(),
			startedAt: now,
			replies:   map[member.ID]WitnessReply{},
		}
		m.searches[shard.ID()] = search
	}
	outstanding := m.outstandingWitnesses(search)
	if now >= search.nextAttempt {
		search.nextAttempt = now + m.config.RetryEvery
		m.requestWitnesses(shard.ID(), search, outstanding)
	}
	elapsed := now - search.startedAt
	if elapsed >= maxWitnessSearch || (elapsed >= minWitnessSearch && len(outstanding) == 0) {
		return m.recoverShard(shard, search)
	}
	return false, nil
}

// outstandingWitnesses returns the other live nodes that have not replied.
func (m *Machine) outstandingWitnesses(search *witnessSearch) []member.ID {
	var outstanding []member.ID
	for _, record := range m.members.Members() {
		_, answered := search.replies[record.Info.ID]
		live := record.State == membership.StateAlive || record.State == membership.StateSuspect
		if live && !answered && record.Info.ID != m.config.Self {
			outstanding = append(outstanding, record.Info.ID)
		}
	}
	return outstanding
}

func (m *Machine) requestWitnesses(shardID uint32, search *witnessSearch, nodes []member.ID) {
	for _, id := range nodes {
		m.transport.Send(id, protocol.Message{
			Type:    protocol.MessageWitnessRequest,
			Shard:   shardID,
			Request: search.request,
			Term:    search.term,
		})
	}
}

// ReceiveRequest replies with the revision that this node has as a witness. It records the
// term of the request, so that every later recovery term is above it, even if all disks are
// lost again.
func (m *Machine) ReceiveRequest(from member.ID, message protocol.Message, incarnation member.Incarnation) {
	known := m.terms[message.Shard]
	if known.from != from || known.request != message.Request {
		known = observedTerm{
			term:     max(known.term, message.Term),
			from:     from,
			request:  message.Request,
			previous: known.term,
		}
		m.terms[message.Shard] = known
	}
	m.transport.Send(from, protocol.Message{
		Type:        protocol.MessageWitnessReply,
		Shard:       message.Shard,
		Request:     message.Request,
		Revision:    m.received.Revision(message.Shard),
		Incarnation: incarnation,
		Term:        known.previous,
	})
}

// ReceiveReply records the reply of a witness.
func (m *Machine) ReceiveReply(from member.ID, message protocol.Message) {
	search := m.searches[message.Shard]
	if search == nil || search.request != message.Request {
		return
	}
	search.replies[from] = WitnessReply{
		Revision:    message.Revision,
		Term:        message.Term,
		Incarnation: message.Incarnation,
	}
}

// recoverShard recovers the group with the newest known state, and reports whether the group
// has changed. The relay tree delivers the newest state of the witnesses to this node; until
// it has, the search continues.
func (m *Machine) recoverShard(shard Shard, search *witnessSearch) (changed bool, err error) {
	newest, term := uint64(0), m.ObservedTerm(shard.ID())
	for _, reply := range search.replies {
		newest = max(newest, reply.Revision)
		term = max(term, reply.Term)
	}
	if term >= search.term {
		// The group must start above this term, so that no former leader is taken for the
		// new one.
		shard.RaiseRecoveryTerm(term)
		return true, nil
	}
	if m.received.Revision(shard.ID()) < newest {
		return false, nil
	}
	state, err := m.RecoveredState(shard, search.replies)
	if err != nil {
		return false, err
	}
	// An error means that another member has begun a later term, which leaves the recovery
	// to that member.
	overtaken := shard.RecoverQuorum(search.term, state) != nil
	return !overtaken, nil
}

// RecoveredState encodes the state that the recovered group starts with. That is the state
// after the whole log if the log covers the newest relayed state. Otherwise it is the relayed
// state, and entries of the log that were never committed are discarded. If
// Config.RegisterNodes is set, every node that may serve is registered in it, since the log
// may have lost registrations.
func (m *Machine) RecoveredState(shard Shard, replies map[member.ID]WitnessReply) ([]byte, error) {
	state, coversReceived, err := m.replay(shard)
	if err != nil {
		return nil, err
	}
	if !coversReceived {
		if state, err = m.witnessedState(shard); err != nil {
			return nil, err
		}
	}
	if m.config.RegisterNodes {
		m.registerAll(state, replies)
	}
	return state.Snapshot()
}

func (m *Machine) registerAll(state shardstate.State, replies map[member.ID]WitnessReply) {
	for _, record := range m.members.Members() {
		if record.State != membership.StateLeft {
			registerNode(state, record.Info.ID, record.Info.Incarnation)
		}
	}
	for id, reply := range replies {
		registerNode(state, id, reply.Incarnation)
	}
}

func registerNode(state shardstate.State, id member.ID, incarnation member.Incarnation) {
	state.Apply(&controlpb.Command{Command: &controlpb.Command_RegisterNode{RegisterNode: &controlpb.RegisterNode{
		Node:        string(id),
		Incarnation: uint64(incarnation),
	}}})
}

// replay returns the state after the whole log, and whether the log covers the relayed state
// that this node has. The log does if that state is not newer than the applied one, or if the
// replay of the unapplied entries leads through it. All applied entries and all relayed
// states are committed; an unapplied entry may or may not be.
func (m *Machine) replay(shard Shard) (state shardstate.State, coversReceived bool, err error) {
	snapshot, err := shard.State().Snapshot()
	if err != nil {
		return nil, false, err
	}
	if state, err = shardstate.Restore(shard.ID(), snapshot); err != nil {
		return nil, false, err
	}
	received := m.received.Revision(shard.ID())
	coversReceived = received <= state.Revision()
	for _, entry := range shard.Unapplied() {
		if state, err = replayEntry(shard.ID(), state, entry); err != nil {
			return nil, false, err
		}
		coversReceived = coversReceived || m.coversReceived(shard.ID(), state, entry.Kind)
	}
	return state, coversReceived, nil
}

// replayEntry applies an entry to a copy of a shard's state, and returns the resulting state.
func replayEntry(shardID uint32, state shardstate.State, entry replication.Entry) (shardstate.State, error) {
	switch entry.Kind {
	case replication.EntryRestore:
		return shardstate.Restore(shardID, entry.Command)
	case replication.EntryCommand:
		command := &controlpb.Command{}
		if err := proto.Unmarshal(entry.Command, command); err == nil {
			state.Apply(command)
		}
	}
	return state, nil
}

// coversReceived reports whether a state during the replay of the log is the relayed state
// that this node has. After an EntryRestore a newer state counts too: the earlier recovery
// that wrote the entry included the states of its witnesses.
func (m *Machine) coversReceived(shardID uint32, state shardstate.State, kind replication.EntryKind) bool {
	received := m.received.Revision(shardID)
	if kind == replication.EntryRestore {
		return state.Revision() >= received
	}
	return state.Revision() == received && state.Equals(m.received.Message(shardID))
}

// witnessedState returns the relayed state that this node has, completed from the applied
// part of the log with the registered nodes, and for the configuration also with older
// answers and the source document.
func (m *Machine) witnessedState(shard Shard) (shardstate.State, error) {
	if shard.ID() != shardstate.ConfigurationShard {
		received := m.received.Service(shard.ID())
		return shardstate.NewService(&controlpb.ServiceState{
			Revision: received.GetRevision(),
			Replicas: received.GetReplicas(),
			Nodes:    shard.State().Nodes(),
		}), nil
	}
	answers, err := shardstate.DecodeAnswers(m.sections(relaytree.Topic(shard.ID())))
	if err != nil {
		return nil, errors.Wrap(err, "decode the answers to orders in the relayed state")
	}
	logged := shard.State().(*shardstate.Configuration)
	return shardstate.NewConfiguration(&controlpb.ConfigurationState{
		Configuration: m.received.Configuration(),
		Answers:       shardstate.MergeAnswers(logged.AcceptedAnswers(), answers),
		Nodes:         shard.State().Nodes(),
		Source:        sourceOf(m.received.Configuration(), logged),
	}), nil
}

// sourceOf returns the document that a relayed configuration was made from, if the applied
// part of the log contains it, else nil: documents are not relayed.
func sourceOf(configuration *ridgeswitchv1.Configuration, logged *shardstate.Configuration) *ridgeswitchv1.Source {
	if configuration.GetSource().GetVersion() != logged.Configuration().GetSource().GetVersion() {
		return nil
	}
	return logged.Source()
}
