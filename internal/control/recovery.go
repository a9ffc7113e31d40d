package control

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// A shard whose group lost the majority of its disks is formed anew by the member
// that all others have promised a ballot, see replication.Group.Reform. Every node
// that holds a relayed state of the shard is a witness: the group opens with
// nothing below what a witness holds.

const (
	// minWitnessSearch is how long witnesses are sought at least: a node that has
	// just started does not know all others yet.
	minWitnessSearch = 500 * time.Millisecond
	// maxWitnessSearch is how long a live node that does not answer is waited for.
	maxWitnessSearch = 1500 * time.Millisecond
)

// witnessReply is what a node said of a shard.
type witnessReply struct {
	revision    uint64
	term        uint64
	incarnation member.Incarnation
}

// recovery is the search for the newest state of a shard under one ballot.
type witnessSearch struct {
	term        uint64
	request     uint64
	startedAt   time.Duration
	nextAttempt time.Duration
	replies     map[member.ID]witnessReply
}

// observedTerm is the newest term of a shard's group that this node heard of, and
// the question that told it, if any.
type observedTerm struct {
	term    uint64
	from    member.ID
	request uint64
	// previous is the newest term when the question came first.
	previous uint64
}

// observeTerm notes a term that is in use.
func (m *Machine) observeTerm(shardID uint32, term uint64) {
	if known := m.observedTerms[shardID]; term > known.term {
		m.observedTerms[shardID] = observedTerm{term: term}
	}
}

// tickRecoveries goes on with the shards that this node is to form anew.
func (m *Machine) tickRecoveries() {
	for _, id := range m.shardIDs {
		hosted := m.shards[id]
		if hosted == nil {
			continue
		}
		if m.received.Revision(ConfigurationShard) > 0 {
			hosted.group.ExpectState()
		}
		m.tickRecovery(hosted)
	}
}

func (m *Machine) tickRecovery(hosted *shard) {
	term, won := hosted.group.RecoveryTerm()
	if !won {
		hosted.recovery = nil
		return
	}
	if hosted.recovery == nil || hosted.recovery.term != term {
		hosted.recovery = &witnessSearch{
			term:      term,
			request:   m.numbers.Next(),
			startedAt: m.now,
			replies:   map[member.ID]witnessReply{},
		}
	}
	search := hosted.recovery
	outstanding := m.outstandingWitnesses(search)
	if m.now >= search.nextAttempt {
		search.nextAttempt = m.now + m.config.Times.RetryEvery
		m.requestWitnesses(hosted.id, search, outstanding)
	}
	elapsed := m.now - search.startedAt
	if elapsed >= maxWitnessSearch || (elapsed >= minWitnessSearch && len(outstanding) == 0) {
		m.recoverShard(hosted)
	}
}

// outstandingWitnesses are the live nodes that have not answered.
func (m *Machine) outstandingWitnesses(search *witnessSearch) []member.ID {
	var outstanding []member.ID
	for _, record := range m.members.Members() {
		_, answered := search.replies[record.Info.ID]
		if isLive(record) && !answered && record.Info.ID != m.config.Self.ID {
			outstanding = append(outstanding, record.Info.ID)
		}
	}
	return outstanding
}

func (m *Machine) requestWitnesses(shardID uint32, search *witnessSearch, nodes []member.ID) {
	for _, id := range nodes {
		message := protocol.Message{
			Type:    protocol.MessageWitnessRequest,
			Shard:   shardID,
			Request: search.request,
			Term:    search.term,
		}
		m.send(id, wire.Envelope{Shard: shardID, Control: &message})
	}
}

// receiveWitnessRequest answers what this node holds. It remembers the ballot, so
// that no later one goes below it, even if all disks are lost again.
func (m *Machine) receiveWitnessRequest(from member.ID, message protocol.Message) {
	known := m.observedTerms[message.Shard]
	if known.from != from || known.request != message.Request {
		known = observedTerm{
			term:     max(known.term, message.Term),
			from:     from,
			request:  message.Request,
			previous: known.term,
		}
		m.observedTerms[message.Shard] = known
	}
	m.sendControl(from, protocol.Message{
		Type:        protocol.MessageWitnessReply,
		Shard:       message.Shard,
		Request:     message.Request,
		Revision:    m.received.Revision(message.Shard),
		Incarnation: m.selfIncarnation(),
		Term:        known.previous,
	})
}

// receiveWitnessReply notes an answer.
func (m *Machine) receiveWitnessReply(from member.ID, message protocol.Message) {
	hosted := m.shards[message.Shard]
	if hosted == nil || hosted.recovery == nil || hosted.recovery.request != message.Request {
		return
	}
	hosted.recovery.replies[from] = witnessReply{
		revision:    message.Revision,
		term:        message.Term,
		incarnation: message.Incarnation,
	}
}

// recoverShard forms the group anew with the newest state that is known. The
// relay brings the state of the best witness; until it has, the search goes on.
func (m *Machine) recoverShard(hosted *shard) {
	search := hosted.recovery
	newest, term := uint64(0), m.observedTerms[hosted.id].term
	for _, reply := range search.replies {
		newest = max(newest, reply.revision)
		term = max(term, reply.term)
	}
	if term >= search.term {
		hosted.group.RaiseRecoveryTerm(term)
		m.processReady(hosted)
		return
	}
	if m.received.Revision(hosted.id) < newest {
		return
	}
	state, err := m.recoveredState(hosted)
	if err != nil {
		hosted.badEntries++
		return
	}
	if err := hosted.group.RecoverQuorum(m.now, search.term, state); err != nil {
		// Another member's ballot has overtaken this one.
		return
	}
	m.processReady(hosted)
}

// recoveredState is what the log leads to, unless a witness holds what the log
// does not, or other than the log: then entries of the log that were never
// committed must give way to it. Every node that may serve is registered, since
// the log may have lost what it had registered.
func (m *Machine) recoveredState(hosted *shard) ([]byte, error) {
	state, covers, err := m.replay(hosted)
	if err != nil {
		return nil, err
	}
	if !covers {
		if state, err = m.witnessedState(hosted); err != nil {
			return nil, err
		}
	}
	if !m.config.FailOpen {
		m.registerAll(state, hosted.recovery)
	}
	return state.Snapshot()
}

func (m *Machine) registerAll(state shardstate.State, search *witnessSearch) {
	for _, record := range m.members.Members() {
		if record.State != membership.StateLeft {
			registerNode(state, record.Info.ID, record.Info.Incarnation)
		}
	}
	for id, reply := range search.replies {
		registerNode(state, id, reply.incarnation)
	}
}

func registerNode(state shardstate.State, id member.ID, incarnation member.Incarnation) {
	state.Apply(&controlpb.Command{Command: &controlpb.Command_RegisterNode{RegisterNode: &controlpb.RegisterNode{
		Node:        string(id),
		Incarnation: uint64(incarnation),
	}}})
}

// replay returns the state after the whole log, and whether the state that this
// node holds as a witness is one that the log led through. What has been applied
// is committed, as is all that was ever relayed; of the rest it is not known.
func (m *Machine) replay(hosted *shard) (state shardstate.State, covers bool, err error) {
	snapshot, err := hosted.state.Snapshot()
	if err != nil {
		return nil, false, err
	}
	if state, err = shardstate.Restore(hosted.id, snapshot); err != nil {
		return nil, false, err
	}
	received := m.received.Revision(hosted.id)
	covers = received <= state.Revision()
	for _, entry := range hosted.group.Unapplied() {
		if state, err = replayEntry(hosted.id, state, entry); err != nil {
			return nil, false, err
		}
		covers = covers || m.coversReceived(hosted.id, state, entry.Kind)
	}
	return state, covers, nil
}

// replayEntry applies an entry to a copy of a shard's state.
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

// coversReceived tells whether a state that the log led to is the one that this node
// holds. An earlier recovery took in what witnesses held then.
func (m *Machine) coversReceived(shardID uint32, state shardstate.State, kind replication.EntryKind) bool {
	received := m.received.Revision(shardID)
	if kind == replication.EntryRestore {
		return state.Revision() >= received
	}
	return state.Revision() == received && state.Equals(m.received.Message(shardID))
}

// witnessedState is the state that this node holds as a witness, with the nodes
// and the older answers that the committed part of the log knows.
func (m *Machine) witnessedState(hosted *shard) (shardstate.State, error) {
	if hosted.id != ConfigurationShard {
		received := m.received.Service(hosted.id)
		return shardstate.NewService(&controlpb.ServiceState{
			Revision: received.GetRevision(),
			Replicas: received.GetReplicas(),
			Nodes:    hosted.state.Nodes(),
		}), nil
	}
	_, sections := m.relay.Snapshot(relaytree.Topic(hosted.id))
	answers, err := shardstate.DecodeAnswers(sections)
	if err != nil {
		return nil, errors.Wrap(err, "read the answers that a witness holds")
	}
	logged := hosted.state.(*shardstate.Configuration)
	return shardstate.NewConfiguration(&controlpb.ConfigurationState{
		Configuration: m.received.Configuration(),
		Answers:       shardstate.MergeAnswers(logged.AcceptedAnswers(), answers),
		Nodes:         hosted.state.Nodes(),
		Source:        sourceOf(m.received.Configuration(), logged),
	}), nil
}

// sourceOf is the document that a witnessed configuration was made from, if the
// committed part of the log has it: documents are not relayed.
func sourceOf(configuration *ridgeswitchv1.Configuration, logged *shardstate.Configuration) *ridgeswitchv1.Source {
	if configuration.GetSource().GetVersion() != logged.Configuration().GetSource().GetVersion() {
		return nil
	}
	return logged.Source()
}
