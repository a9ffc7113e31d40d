package shardstate

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// Service is the state of the services that hash to one shard: the phase and weight
// version of their replicas, the ages of their weight versions, and the nodes that are
// registered with the shard.
type Service struct {
	state *controlpb.ServiceState
}

// NewService returns a state that begins with the given message and owns it.
func NewService(state *controlpb.ServiceState) *Service {
	return &Service{state: state}
}

// Apply executes a committed command. A command for the configuration shard changes
// nothing.
func (s *Service) Apply(command *controlpb.Command) *controlpb.Answer {
	switch change := command.GetCommand().(type) {
	case *controlpb.Command_RegisterNode:
		s.register(change.RegisterNode)
	case *controlpb.Command_ForgetNode:
		s.forget(change.ForgetNode)
	case *controlpb.Command_SetReplicas:
		s.setReplicas(change.SetReplicas)
	}
	return &controlpb.Answer{Revision: s.state.GetRevision()}
}

// register adds a node, or replaces its registration unless that is of a later
// incarnation.
func (s *Service) register(node *controlpb.RegisterNode) {
	for position, known := range s.state.Nodes {
		if known.GetNode() != node.GetNode() {
			continue
		}
		if node.GetIncarnation() >= known.GetIncarnation() {
			s.state.Nodes[position] = proto.Clone(node).(*controlpb.RegisterNode)
		}
		return
	}
	s.state.Nodes = append(s.state.Nodes, proto.Clone(node).(*controlpb.RegisterNode))
}

func (s *Service) forget(node *controlpb.ForgetNode) {
	s.state.Nodes = slices.DeleteFunc(s.state.Nodes, func(known *controlpb.RegisterNode) bool {
		return known.GetNode() == node.GetNode() && known.GetIncarnation() <= node.GetIncarnation()
	})
}

// setReplicas removes, adds and replaces rows of replicas under a new revision. It
// replaces the ages of weight versions only if the change contains any.
func (s *Service) setReplicas(change *controlpb.SetReplicas) {
	s.state.Revision++
	replaced := map[string]struct{}{}
	for _, address := range change.GetRemoved() {
		replaced[address] = struct{}{}
	}
	for _, replica := range change.GetReplicas() {
		replaced[replica.GetAddress()] = struct{}{}
	}
	s.state.Replicas = slices.DeleteFunc(s.state.Replicas, func(row *controlpb.ReplicaState) bool {
		_, found := replaced[row.GetAddress()]
		return found
	})
	for _, replica := range change.GetReplicas() {
		row := proto.Clone(replica).(*controlpb.ReplicaState)
		row.PhaseRevision = s.state.Revision
		s.state.Replicas = append(s.state.Replicas, row)
	}
	if len(change.GetWeightsAges()) > 0 {
		s.state.WeightsAges = proto.CloneOf(change).WeightsAges
	}
	slices.SortFunc(s.state.Replicas, func(a, b *controlpb.ReplicaState) int {
		return cmp.Compare(a.GetAddress(), b.GetAddress())
	})
}

// Revision returns the revision of the replicas, which every SetReplicas command increases.
func (s *Service) Revision() uint64 { return s.state.GetRevision() }

// Nodes returns the nodes that are registered with the shard.
func (s *Service) Nodes() []*controlpb.RegisterNode { return s.state.GetNodes() }

// Snapshot encodes the whole state.
func (s *Service) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(s.state)
}

// Sections encodes the part of the state that all nodes need, which is everything but
// the registered nodes.
func (s *Service) Sections() ([]relaytree.Section, error) {
	return encodeSections(s.relayed(), serviceFields)
}

func (s *Service) relayed() *controlpb.ServiceState {
	return &controlpb.ServiceState{
		Revision:    s.state.GetRevision(),
		Replicas:    s.state.GetReplicas(),
		WeightsAges: s.state.GetWeightsAges(),
	}
}

// Equals reports whether a relayed message equals the relayed part of this state.
func (s *Service) Equals(relayed proto.Message) bool {
	return proto.Equal(s.relayed(), relayed)
}

// Replicas returns the rows of the replicas, sorted by address; read only.
func (s *Service) Replicas() []*controlpb.ReplicaState { return s.state.GetReplicas() }

// FindReplica returns the row with an address, or nil. The rows must be sorted by address.
func FindReplica(rows []*controlpb.ReplicaState, address string) *controlpb.ReplicaState {
	position, found := slices.BinarySearchFunc(rows, address, func(row *controlpb.ReplicaState, address string) int {
		return cmp.Compare(row.GetAddress(), address)
	})
	if !found {
		return nil
	}
	return rows[position]
}
