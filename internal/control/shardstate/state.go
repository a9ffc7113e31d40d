package shardstate

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// ConfigurationShard is the shard that holds the configuration.
const ConfigurationShard uint32 = 0

// State is the replicated state machine of a shard.
type State interface {
	// Apply carries out a committed command; every copy gives the same answer.
	Apply(command *controlpb.Command) *controlpb.Answer
	// Revision numbers the states that are relayed to all nodes.
	Revision() uint64
	// Nodes are the nodes that serve under this shard's state.
	Nodes() []*controlpb.RegisterNode
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Sections encodes what is relayed to all nodes.
	Sections() ([]relaytree.Section, error)
	// Equals reports whether a relayed state is that of this one.
	Equals(relayed proto.Message) bool
}

// New returns the state of a shard before its first command.
func New(id uint32) State {
	if id == ConfigurationShard {
		return NewConfiguration(&controlpb.ConfigurationState{})
	}
	return NewService(&controlpb.ServiceState{})
}

// Restore decodes what Snapshot encoded; no data stands for the state before the first
// command.
func Restore(id uint32, data []byte) (State, error) {
	if len(data) == 0 {
		return New(id), nil
	}
	if id == ConfigurationShard {
		machine, err := dynamic.RestoreMachine(data)
		if err != nil {
			return nil, err
		}
		return &Configuration{Machine: machine}, nil
	}
	state := &controlpb.ServiceState{}
	if err := proto.Unmarshal(data, state); err != nil {
		return nil, errors.Wrap(err, "decode the state of a service shard")
	}
	return NewService(state), nil
}

// ShardOfService returns the shard that holds the replicas of a service.
func ShardOfService(service string, serviceShards uint32) uint32 {
	if serviceShards == 0 {
		return ConfigurationShard
	}
	return 1 + uint32(xxhash.Sum64String(service)%uint64(serviceShards))
}
