package control

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/registration"
	"github.com/ridgeswitch/ridgeswitch/internal/control/requests"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shards"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// hostedShard is a shard that this node hosts, as the machines of single concerns see it.
// Each of them names what it needs in an interface Shard of its own.
type hostedShard struct {
	*shards.Shard
	machine *Machine
}

// hostedOf returns a shard for the machine of a single concern.
func (m *Machine) hostedOf(hosted *shards.Shard) hostedShard {
	return hostedShard{Shard: hosted, machine: m}
}

// requestShard returns a shard for operators' requests, or nil if this node does not
// host it.
func (m *Machine) requestShard(shardID uint32) requests.Shard {
	if hosted := m.shards[shardID]; hosted != nil {
		return m.hostedOf(hosted)
	}
	return nil
}

// registrationShard returns a shard for registrations, or nil if this node does not host
// it.
func (m *Machine) registrationShard(shardID uint32) registration.Shard {
	if hosted := m.shards[shardID]; hosted != nil {
		return m.hostedOf(hosted)
	}
	return nil
}

// ConfirmedEverywhere reports whether no node can serve a revision below the given one.
func (s hostedShard) ConfirmedEverywhere(revision uint64) bool {
	return s.machine.confirmations.ConfirmedEverywhere(s.machine.now, s, revision)
}

// DrainedEverywhere reports whether no node has a request left on a replica that the given
// revision keeps requests from.
func (s hostedShard) DrainedEverywhere(revision uint64) bool {
	return s.machine.confirmations.DrainedEverywhere(s.machine.now, s, revision)
}

// HasCommandLease reports whether this node's right to command replicas lasts at an
// instant.
func (s hostedShard) HasCommandLease(at time.Duration) bool {
	return s.Group().HasCommandLease(at)
}

// ChangeProposed reports whether a change waits to be committed.
func (s hostedShard) ChangeProposed(from member.ID, request uint64) bool {
	return s.HasProposal(func(open shards.Proposal) bool {
		return open.From == from && open.Message.Request == request && open.Message.Type == protocol.MessageChange
	})
}

// ProposeChange appends a change to the log.
func (s hostedShard) ProposeChange(from member.ID, message protocol.Message) {
	s.Propose(s.machine.now, message.Payload, shards.Proposal{From: from, Message: message})
}

// RegistrationProposed reports whether the registration of an incarnation waits to be
// committed.
func (s hostedShard) RegistrationProposed(node member.ID, incarnation member.Incarnation) bool {
	return s.HasProposal(func(open shards.Proposal) bool {
		return open.From == node &&
			open.Message.Type == protocol.MessageRegister &&
			open.Message.Incarnation == incarnation
	})
}

// ProposeRegistration appends a registration to the log.
func (s hostedShard) ProposeRegistration(node *controlpb.RegisterNode, message protocol.Message) {
	command := &controlpb.Command{Command: &controlpb.Command_RegisterNode{RegisterNode: node}}
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(command)
	if err != nil {
		s.CountBadEntry()
		return
	}
	s.Propose(s.machine.now, payload, shards.Proposal{From: member.ID(node.GetNode()), Message: message})
}

// RequestRead asks for a confirmation that this node still leads the shard.
func (s hostedShard) RequestRead() (uint64, error) {
	return s.Group().RequestRead(s.machine.now)
}

// Unapplied returns the entries of the log that have not been applied.
func (s hostedShard) Unapplied() []replication.Entry { return s.Group().Unapplied() }

// RecoveryTerm returns the term under which this node is to form the group anew, and
// whether it is to.
func (s hostedShard) RecoveryTerm() (uint64, bool) { return s.Group().RecoveryTerm() }

// RaiseRecoveryTerm has the election for a recovery repeated above a term.
func (s hostedShard) RaiseRecoveryTerm(term uint64) { s.Group().RaiseRecoveryTerm(term) }

// RecoverQuorum forms the group anew with a state.
func (s hostedShard) RecoverQuorum(term uint64, state []byte) error {
	return s.Group().RecoverQuorum(s.machine.now, term, state)
}

// ledServices is a service shard that this node leads, as its roll-outs see it.
type ledServices struct {
	hostedShard
	services *shardstate.Service
}

// Rows returns the rows of the replicas, sorted by address; read only.
func (l ledServices) Rows() []*controlpb.ReplicaState { return l.services.Replicas() }

// startShard starts this node's copy of a shard, if it is in the shard's group.
func (m *Machine) startShard(id uint32, restored replication.Restored) error {
	if !m.config.hosts(id) {
		return nil
	}
	config := m.config
	hosted, err := shards.New(id, shardHost{m}, replication.Config{
		Self:            config.Self.ID,
		Founders:        config.foundersOf(id),
		MaxVoters:       config.maxVoters(),
		HeartbeatEvery:  config.Times.HeartbeatEvery,
		ElectionTimeout: config.Times.ElectionTimeout,
		LeaseDuration:   config.Times.LeaseDuration,
		LeaseMargin:     config.Times.LeaseMargin,
		MaxLogEntries:   config.logEntries(),
		Learner:         config.Learner,
		Incarnation:     config.diskIncarnation(),
	}, restored, m.now)
	if err != nil {
		return errors.Wrapf(err, "start shard %d", id)
	}
	m.shards[id] = hosted
	return nil
}

// shardHost implements shards.Host.
type shardHost struct{ machine *Machine }

// SendReplication implements shards.Host.
func (h shardHost) SendReplication(to member.ID, shardID uint32, message replication.Message) {
	h.machine.send(to, wire.Envelope{Shard: shardID, Replication: &message})
}

// Write implements shards.Host.
func (h shardHost) Write(write shards.Write) {
	h.machine.output.Writes = append(h.machine.output.Writes, write)
}

// Applied implements shards.Host: it passes a committed command on to the concern that
// waits for it.
func (h shardHost) Applied(hosted *shards.Shard, command *controlpb.Command, answer *controlpb.Answer, proposed *shards.Proposal) {
	m := h.machine
	switch change := command.GetCommand().(type) {
	case *controlpb.Command_RegisterNode:
		node := change.RegisterNode
		m.confirmations.ForgetOlder(hosted.ID(), member.ID(node.GetNode()), member.Incarnation(node.GetIncarnation()))
		if proposed != nil {
			m.registrar.Applied(m.hostedOf(hosted), proposed.From, proposed.Message)
		}
	case *controlpb.Command_SetReplicas:
		m.rollout.RunSoon(m.now)
	case *controlpb.Command_Order:
		if proposed != nil {
			m.leaderRequests.Applied(m.now, proposed.From, proposed.Message.Request, answer)
		}
	}
}
