package control

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// shardIDs returns the IDs of all shards in ascending order.
func (c Config) shardIDs() []uint32 {
	var ids []uint32
	for id := range c.ServiceShards + 1 {
		ids = append(ids, id)
	}
	return ids
}

// hostedIDs returns the IDs of the shards that this node hosts, in ascending order.
func (c Config) hostedIDs() []uint32 {
	return slices.DeleteFunc(c.shardIDs(), func(id uint32) bool { return !c.hosts(id) })
}

// hosts reports whether this node has a copy of a shard. If Seeded is set, each node with a
// disk has a copy of all shards, and the members of a group are those that its log names.
func (c Config) hosts(shardID uint32) bool {
	if !c.Self.HoldsState {
		return false
	}
	return c.Seeded || slices.Contains(c.GroupOfShard(shardID), c.Self.ID)
}

// foundersOf returns the founding voters of a shard's group.
func (c Config) foundersOf(shardID uint32) []member.ID {
	if c.Seeded {
		return slices.Clone(c.Group)
	}
	return c.GroupOfShard(shardID)
}

// maxVoters returns the number of voters up to which the leader lets a group grow; zero
// means the default of package replication.
func (c Config) maxVoters() int {
	if c.Seeded {
		return seededMaxVoters
	}
	return 0
}

// GroupOfShard returns the members of a shard's replica group in the order in which they
// become its leader. Every node with a disk replicates the configuration. A service shard is
// replicated by the nodes with the highest rendezvous weights, which spreads the leaders over
// the nodes. They are taken from as many zones as possible, so that the loss of one zone
// does not take a majority with it.
func (c Config) GroupOfShard(shard uint32) []member.ID {
	if shard == ConfigurationShard {
		return slices.Clone(c.Group)
	}
	ordered := slices.Clone(c.Group)
	slices.SortStableFunc(ordered, func(a, b member.ID) int {
		// The highest weight comes first.
		return cmp.Compare(rendezvousWeight(shard, b), rendezvousWeight(shard, a))
	})
	ordered = c.spreadOverZones(ordered)
	if len(ordered) > serviceGroupSize {
		ordered = ordered[:serviceGroupSize]
	}
	return ordered
}

// spreadOverZones moves the first member of each zone to the front and keeps
// the order otherwise. Each member without a known zone counts as a zone of its own.
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

// rendezvousWeight returns the weight of a node for a shard in rendezvous hashing.
func rendezvousWeight(shard uint32, id member.ID) uint64 {
	digest := xxhash.New()
	var prefix [4]byte
	binary.BigEndian.PutUint32(prefix[:], shard)
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}
