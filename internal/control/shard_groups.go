package control

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// GroupOfShard returns the members of a shard's replica group in the order in
// which they own it. Every node with a disk holds the configuration; a service
// shard is held by the nodes that weigh highest for it, so that leaders spread,
// and by as many zones as there are, so that no zone takes a majority with it.
func (c Config) GroupOfShard(shard uint32) []member.ID {
	if shard == ConfigurationShard {
		return slices.Clone(c.Group)
	}
	ordered := slices.Clone(c.Group)
	slices.SortStableFunc(ordered, func(a, b member.ID) int {
		return compareWeights(rendezvousWeight(shard, a), rendezvousWeight(shard, b))
	})
	ordered = c.spreadOverZones(ordered)
	if len(ordered) > serviceGroupSize {
		ordered = ordered[:serviceGroupSize]
	}
	return ordered
}

// spreadOverZones moves the first member of each zone to the front and keeps
// the order otherwise. Members without a known zone count as one each.
func (c Config) spreadOverZones(ordered []member.ID) []member.ID {
	var first, further []member.ID
	seen := map[string]struct{}{}
	for _, id := range ordered {
		zone, known := c.GroupZones[id]
		_, taken := seen[zone]
		if known && taken {
			further = append(further, id)
			continue
		}
		first = append(first, id)
		if known {
			seen[zone] = struct{}{}
		}
	}
	return append(first, further...)
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
