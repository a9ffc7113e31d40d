package prefixindex

import (
	"math/bits"
	"sync"
	"sync/atomic"
)

// ownersPerGroup is the number of owners that share one partition: as many
// as an ownerSet has bits.
const ownersPerGroup = 64

// partition holds the chunks of one group of owners, spread over shards by their
// hash.
type partition struct {
	shards []shard
	shift  uint
}

func newPartition(shards int) *partition {
	exponent := bits.Len(uint(shards - 1))
	p := &partition{shards: make([]shard, 1<<exponent), shift: uint(64 - exponent)}
	for i := range p.shards {
		p.shards[i].init()
	}
	return p
}

func (p *partition) shardOf(hash ChainHash) *shard {
	return &p.shards[mix(hash)>>p.shift]
}

// partitions has a partition for each group of owners. Groups are only ever added,
// and the slice of them is replaced as a whole, so that lookups read it without a
// lock. The growth lock is held while a group is added.
type partitions struct {
	shards  int
	byGroup atomic.Pointer[[]*partition]
	growth  sync.Mutex
}

func newPartitions(shards int) *partitions {
	p := &partitions{shards: shards}
	p.byGroup.Store(&[]*partition{})
	return p
}

// all returns the partitions in the order of their groups.
func (p *partitions) all() []*partition { return *p.byGroup.Load() }

// partitionOf returns the partition of an owner and the owner's bit in it.
func (p *partitions) partitionOf(owner Owner) (*partition, ownerSet) {
	group := int(owner / ownersPerGroup)
	groups := p.all()
	if group >= len(groups) {
		groups = p.grow(group)
	}
	return groups[group], 1 << (owner % ownersPerGroup)
}

func (p *partitions) grow(group int) []*partition {
	p.growth.Lock()
	defer p.growth.Unlock()
	groups := p.all()
	if group < len(groups) {
		return groups
	}
	longer := append([]*partition(nil), groups...)
	for len(longer) <= group {
		longer = append(longer, newPartition(p.shards))
	}
	p.byGroup.Store(&longer)
	return longer
}

func (p *partitions) put(owner Owner, hash ChainHash) {
	group, bit := p.partitionOf(owner)
	group.shardOf(hash).put(hash, bit)
}

func (p *partitions) remove(owner Owner, hash ChainHash) {
	group, bit := p.partitionOf(owner)
	group.shardOf(hash).remove(hash, bit)
}

func (p *partitions) drop(owner Owner) {
	group, bit := p.partitionOf(owner)
	for i := range group.shards {
		group.shards[i].drop(bit)
	}
}

// size counts the pairs of chunk and owner, and the bytes of the tables.
func (p *partitions) size() (pairs, bytes int) {
	for _, group := range p.all() {
		for i := range group.shards {
			shard := &group.shards[i]
			pairs += int(shard.pairs.Load())
			bytes += shard.table.Load().slots() * bytesPerSlot
		}
	}
	return pairs, bytes
}

// hashesOf returns the hashes of an owner, in no order.
func (p *partitions) hashesOf(owner Owner) []ChainHash {
	group, bit := p.partitionOf(owner)
	var hashes []ChainHash
	for i := range group.shards {
		hashes = group.shards[i].appendHashesOf(hashes, bit)
	}
	return hashes
}
