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
	// Apply executes a committed command and returns the same answer on every copy.
	Apply(command *controlpb.Command) *controlpb.Answer
	// Revision returns the revision of the part of the state that Sections encodes.
	Revision() uint64
	// Nodes returns the nodes that are registered with the shard.
	Nodes() []*controlpb.RegisterNode
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Sections encodes the part of the state that is relayed to all nodes.
	Sections() ([]relaytree.Section, error)
	// Equals reports whether a relayed message equals the relayed part of this state.
	Equals(relayed proto.Message) bool
}

// New returns the state of a shard before its first command.
func New(id uint32) State {
	if id == ConfigurationShard {
		return NewConfiguration(&controlpb.ConfigurationState{})
	}
	return NewService(&controlpb.ServiceState{})
}

// Restore decodes data that State.Snapshot encoded. Empty data is the state before the
// first command.
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

// ShardOfService returns the shard that contains the replicas of a service: the
// configuration shard if there are no service shards.
func ShardOfService(service string, serviceShards uint32) uint32 {
	if serviceShards == 0 {
		return ConfigurationShard
	}
	return 1 + uint32(xxhash.Sum64String(service)%uint64(serviceShards))
}
