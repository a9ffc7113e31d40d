package control

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// shardIDs are all shards, in order.
func (c Config) shardIDs() []uint32 {
	var ids []uint32
	for id := range c.ServiceShards + 1 {
		ids = append(ids, id)
	}
	return ids
}

// hostedIDs are the shards that this node hosts, in order.
func (c Config) hostedIDs() []uint32 {
	return slices.DeleteFunc(c.shardIDs(), func(id uint32) bool { return !c.hosts(id) })
}

// hosts reports whether this node has a copy of a shard. Where nodes with disks find each
// other through seeds, each of them has a copy of all shards, and the members of a group
// are those that its log names.
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

// maxVoters bounds how far the leader lets a group grow; zero is the default.
func (c Config) maxVoters() int {
	if c.Seeded {
		return seededMaxVoters
	}
	return 0
}

// GroupOfShard returns the members of a shard's replica group in the order in
// which they become its leader. Every node with a disk replicates the configuration; a
// service shard is replicated by the nodes of the highest weight, so that leaders spread,
// in as many zones as there are, so that no zone takes a majority with it.
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

// rendezvousWeight is the weight of a node for a shard.
func rendezvousWeight(shard uint32, id member.ID) uint64 {
	digest := xxhash.New()
	var prefix [4]byte
	binary.BigEndian.PutUint32(prefix[:], shard)
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}
