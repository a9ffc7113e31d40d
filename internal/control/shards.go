package control

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// ShardOfService returns the shard that holds the replicas of a service.
func ShardOfService(service string, serviceShards uint32) uint32 {
	if serviceShards == 0 {
		return ConfigurationShard
	}
	return 1 + uint32(xxhash.Sum64String(service)%uint64(serviceShards))
}

// GroupOfShard returns the members of a shard's replica group in the order in
// which they own it. Every node with a disk holds the configuration; a service
// shard is held by the nodes that weigh highest for it, so that owners spread.
func GroupOfShard(shard uint32, group []member.ID) []member.ID {
	if shard == ConfigurationShard {
		return slices.Clone(group)
	}
	ordered := slices.Clone(group)
	slices.SortStableFunc(ordered, func(a, b member.ID) int {
		return compareWeights(rendezvousWeight(shard, a), rendezvousWeight(shard, b))
	})
	if len(ordered) > serviceGroupSize {
		ordered = ordered[:serviceGroupSize]
	}
	return ordered
}

// compareWeights orders the highest weight first.
func compareWeights(a, b uint64) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	default:
		return 0
	}
}

// rendezvousWeight is the weight of a node for a shard.
func rendezvousWeight(shard uint32, id member.ID) uint64 {
	digest := xxhash.New()
	var prefix [4]byte
	binary.BigEndian.PutUint32(prefix[:], shard)
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}
