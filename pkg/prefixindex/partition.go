package prefixindex

import (
	"math/bits"
	"sync"
	"sync/atomic"
)

// ownersPerPartition is the number of owners that share one partition: as many
// as an ownerSet has bits.
const ownersPerPartition = 64

// partition holds the chunks of ownersPerPartition consecutive owners, distributed over
// shards by their hash. Partition n begins with the owner n*ownersPerPartition.
type partition struct {
	shards []shard
	// shift reduces a mixed hash to its leading bits, which are the index of the shard.
	shift uint
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

// partitions contains all partitions of the reported or of the predicted chunks. A
// partition is never removed, and the slice is replaced as a whole when partitions are
// added, so that lookups read it without a lock.
type partitions struct {
	// shards is the number of shards of each partition.
	shards   int
	byNumber atomic.Pointer[[]*partition]
	// growMutex is held while partitions are added to byNumber.
	growMutex sync.Mutex
}

func newPartitions(shards int) *partitions {
	p := &partitions{shards: shards}
	p.byNumber.Store(&[]*partition{})
	return p
}

// all returns the partitions in the order of their owners.
func (p *partitions) all() []*partition { return *p.byNumber.Load() }

// partitionOf returns the partition of an owner and the owner's bit in it.
func (p *partitions) partitionOf(owner Owner) (*partition, ownerSet) {
	number := int(owner / ownersPerPartition)
	existing := p.all()
	if number >= len(existing) {
		existing = p.growTo(number)
	}
	return existing[number], 1 << (owner % ownersPerPartition)
}

// growTo adds partitions until there is one with the given number, and returns all
// partitions.
func (p *partitions) growTo(number int) []*partition {
	p.growMutex.Lock()
	defer p.growMutex.Unlock()
	existing := p.all()
	if number < len(existing) {
		return existing
	}
	longer := append([]*partition(nil), existing...)
	for len(longer) <= number {
		longer = append(longer, newPartition(p.shards))
	}
	p.byNumber.Store(&longer)
	return longer
}

func (p *partitions) put(owner Owner, hash ChainHash) {
	partition, bit := p.partitionOf(owner)
	partition.shardOf(hash).put(hash, bit)
}

func (p *partitions) remove(owner Owner, hash ChainHash) {
	partition, bit := p.partitionOf(owner)
	partition.shardOf(hash).remove(hash, bit)
}

func (p *partitions) drop(owner Owner) {
	partition, bit := p.partitionOf(owner)
	for i := range partition.shards {
		partition.shards[i].drop(bit)
	}
}

// size counts the pairs of chunk and owner, and the bytes of the tables.
func (p *partitions) size() (pairs, bytes int) {
	for _, partition := range p.all() {
		for i := range partition.shards {
			shard := &partition.shards[i]
			pairs += int(shard.pairs.Load())
			bytes += shard.table.Load().slots() * bytesPerSlot
		}
	}
	return pairs, bytes
}

// hashesOf returns the hashes of an owner, in no order.
func (p *partitions) hashesOf(owner Owner) []ChainHash {
	partition, bit := p.partitionOf(owner)
	var hashes []ChainHash
	for i := range partition.shards {
		hashes = partition.shards[i].appendHashesOf(hashes, bit)
	}
	return hashes
}
