package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/registration"
	"github.com/ridgeswitch/ridgeswitch/internal/control/requests"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// hostedShard is a shard that this node hosts, as the machines of single concerns see it.
// Each of them names what it needs in an interface Shard of its own.
type hostedShard struct {
	machine *Machine
	shard   *shard
}

// viewOf returns a shard for the machine of a single concern.
func (m *Machine) viewOf(hosted *shard) hostedShard { return hostedShard{machine: m, shard: hosted} }

// requestShard returns a shard for operators' requests, or nil if this node does not
// host it.
func (m *Machine) requestShard(shardID uint32) requests.Shard {
	if hosted := m.shards[shardID]; hosted != nil {
		return m.viewOf(hosted)
	}
	return nil
}

// registrationShard returns a shard for registrations, or nil if this node does not host
// it.
func (m *Machine) registrationShard(shardID uint32) registration.Shard {
	if hosted := m.shards[shardID]; hosted != nil {
		return m.viewOf(hosted)
	}
	return nil
}

// ID returns the number of the shard.
func (s hostedShard) ID() uint32 { return s.shard.id }

// IsLeader reports whether this node leads the shard.
func (s hostedShard) IsLeader() bool { return s.shard.isLeader() }

// Term returns the newest term of the shard's group.
func (s hostedShard) Term() uint64 { return s.shard.group.Status().Term }

// State returns the state after all entries that have been applied; read only.
func (s hostedShard) State() shardstate.State { return s.shard.state }

// Revision returns the revision of State.
func (s hostedShard) Revision() uint64 { return s.shard.state.Revision() }

// Nodes returns the registered nodes; read only.
func (s hostedShard) Nodes() []*controlpb.RegisterNode { return s.shard.state.Nodes() }

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
	return s.shard.group.HasCommandLease(at)
}

// ChangeProposed reports whether a change waits to be committed.
func (s hostedShard) ChangeProposed(from member.ID, request uint64) bool {
	return s.shard.hasProposal(func(open proposal) bool {
		return open.from == from && open.message.Request == request && open.message.Type == protocol.MessageChange
	})
}

// ProposeChange appends a change to the log.
func (s hostedShard) ProposeChange(from member.ID, message protocol.Message) {
	s.machine.propose(s.shard, message.Payload, proposal{from: from, message: message})
}

// RegistrationProposed reports whether the registration of an incarnation waits to be
// committed.
func (s hostedShard) RegistrationProposed(node member.ID, incarnation member.Incarnation) bool {
	return s.shard.hasProposal(func(open proposal) bool {
		return open.from == node &&
			open.message.Type == protocol.MessageRegister &&
			open.message.Incarnation == incarnation
	})
}

// ProposeRegistration appends a registration to the log.
func (s hostedShard) ProposeRegistration(node *controlpb.RegisterNode, message protocol.Message) {
	command := &controlpb.Command{Command: &controlpb.Command_RegisterNode{RegisterNode: node}}
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(command)
	if err != nil {
		s.shard.badEntries++
		return
	}
	s.machine.propose(s.shard, payload, proposal{from: member.ID(node.GetNode()), message: message})
}

// RequestRead asks for a confirmation that this node still leads the shard.
func (s hostedShard) RequestRead() (uint64, error) {
	return s.shard.group.RequestRead(s.machine.now)
}

// Unapplied returns the entries of the log that have not been applied.
func (s hostedShard) Unapplied() []replication.Entry { return s.shard.group.Unapplied() }

// RecoveryTerm returns the term under which this node is to form the group anew, and
// whether it is to.
func (s hostedShard) RecoveryTerm() (uint64, bool) { return s.shard.group.RecoveryTerm() }

// RaiseRecoveryTerm has the election for a recovery repeated above a term.
func (s hostedShard) RaiseRecoveryTerm(term uint64) { s.shard.group.RaiseRecoveryTerm(term) }

// RecoverQuorum forms the group anew with a state.
func (s hostedShard) RecoverQuorum(term uint64, state []byte) error {
	return s.shard.group.RecoverQuorum(s.machine.now, term, state)
}

// ledServices is a service shard that this node leads, as its roll-outs see it.
type ledServices struct {
	hostedShard
	services *shardstate.Service
}

// Rows returns the rows of the replicas, sorted by address; read only.
func (l ledServices) Rows() []*controlpb.ReplicaState { return l.services.Replicas() }
