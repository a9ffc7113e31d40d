package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/confirmation"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shards"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// hostedShard is a shard that this node hosts, bound to the time of one input. It implements
// the interfaces Shard of packages confirmation, recovery, registration and requests.
type hostedShard struct {
	*shards.Shard
	confirmations *confirmation.Table
	// now is the time of the input.
	now time.Duration
}

// ConfirmedEverywhere reports whether no node can serve a revision below the given one.
func (s hostedShard) ConfirmedEverywhere(revision uint64) bool {
	return s.confirmations.ConfirmedEverywhere(s.now, s, revision)
}

// DrainedEverywhere reports whether no node has a request left on a replica that the given
// revision takes out of service.
func (s hostedShard) DrainedEverywhere(revision uint64) bool {
	return s.confirmations.DrainedEverywhere(s.now, s, revision)
}

// HasCommandLease reports whether this node holds the lease for commanding replicas at the
// given time.
func (s hostedShard) HasCommandLease(at time.Duration) bool {
	return s.Group().HasCommandLease(at)
}

// ChangeProposed reports whether the change with a request number of a node is proposed and
// waits to be applied.
func (s hostedShard) ChangeProposed(from member.ID, request uint64) bool {
	return s.HasProposal(func(open shards.Proposal) bool {
		return open.From == from && open.Message.Request == request && open.Message.Type == protocol.MessageChange
	})
}

// PreviewChange returns the answer to an order that can be answered without an entry in the
// log, or nil.
func (s hostedShard) PreviewChange(order *controlpb.Order) *controlpb.Answer {
	configuration, ok := s.State().(*shardstate.Configuration)
	if !ok {
		return nil
	}
	return configuration.Preview(order)
}

// BarrierApplied reports whether this node leads the shard and its state contains everything
// that earlier leaders committed.
func (s hostedShard) BarrierApplied() bool { return s.Group().BarrierApplied() }

// ProposeChange appends a change to the log. The recorded proposal omits the payload, which
// may be large.
func (s hostedShard) ProposeChange(from member.ID, message protocol.Message) {
	payload := message.Payload
	message.Payload = nil
	s.Propose(s.now, payload, shards.Proposal{From: from, Message: message})
}

// RegistrationProposed reports whether the registration of an incarnation of a node is
// proposed and waits to be applied.
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
	s.Propose(s.now, payload, shards.Proposal{From: member.ID(node.GetNode()), Message: message})
}

// RequestRead requests a linearizable read, for which a quorum has to confirm that this node
// still leads the shard. It returns the ID of the read.
func (s hostedShard) RequestRead() (uint64, error) {
	return s.Group().RequestRead(s.now)
}

// Unapplied returns the log entries that have not been applied, committed or not.
func (s hostedShard) Unapplied() []replication.Entry { return s.Group().Unapplied() }

// RecoveryTerm returns the recovery term that this node has begun, and whether it has won the
// election for it and is to recover the group.
func (s hostedShard) RecoveryTerm() (uint64, bool) { return s.Group().RecoveryTerm() }

// RaiseRecoveryTerm repeats the election for a recovery with a term above the given one,
// unless the term that this node has won is above it already.
func (s hostedShard) RaiseRecoveryTerm(term uint64) { s.Group().RaiseRecoveryTerm(term) }

// RecoverQuorum makes this node the leader of a recovered group whose first entry is the
// given state.
func (s hostedShard) RecoverQuorum(term uint64, state []byte) error {
	return s.Group().RecoverQuorum(s.now, term, state)
}

// ledServiceShard is a service shard that this node leads. It implements rollout.Shard.
type ledServiceShard struct {
	hostedShard
	state *shardstate.Service
}

// Rows returns the state rows of the replicas, sorted by address; read only.
func (l ledServiceShard) Rows() []*controlpb.ReplicaState { return l.state.Replicas() }
