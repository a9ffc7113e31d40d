package prefixindex

import (
	"math/bits"
	"sync"
	"sync/atomic"
)

// holdersPerGroup is the number of holders that share one partition: as many
// as a holderSet has bits.
const holdersPerGroup = 64

// partition keeps the parts of one group of holders, spread over shards by
// their hash.
type partition struct {
	shards []shard
	shift  uint
}

func newPartition(shards int) *partition {
	exponent := bits.Len(uint(shards - 1))
	p := &partition{shards: make([]shard, 1<<exponent), shift: uint(64 - exponent)}
	for at := range p.shards {
		p.shards[at].init()
	}
	return p
}

func (p *partition) of(hash ChainHash) *shard {
	return &p.shards[mix(hash)>>p.shift]
}

// partitions has a partition for each group of holders. Groups are only ever
// added, and the list of them is replaced as a whole, so that lookups read it
// without a lock.
type partitions struct {
	shards int
	list   atomic.Pointer[[]*partition]
	growth sync.Mutex
}

func newPartitions(shards int) *partitions {
	p := &partitions{shards: shards}
	p.list.Store(&[]*partition{})
	return p
}

// all returns the partitions in the order of their groups.
func (p *partitions) all() []*partition { return *p.list.Load() }

// of returns the partition of a holder and the holder's bit in it.
func (p *partitions) of(holder Holder) (*partition, holderSet) {
	group := int(holder / holdersPerGroup)
	list := p.all()
	if group >= len(list) {
		list = p.grow(group)
	}
	return list[group], 1 << (holder % holdersPerGroup)
}

func (p *partitions) grow(group int) []*partition {
	p.growth.Lock()
	defer p.growth.Unlock()
	list := p.all()
	if group < len(list) {
		return list
	}
	longer := append([]*partition(nil), list...)
	for len(longer) <= group {
		longer = append(longer, newPartition(p.shards))
	}
	p.list.Store(&longer)
	return longer
}

func (p *partitions) put(holder Holder, hash ChainHash) {
	group, bit := p.of(holder)
	group.of(hash).put(hash, bit)
}

func (p *partitions) remove(holder Holder, hash ChainHash) {
	group, bit := p.of(holder)
	group.of(hash).remove(hash, bit)
}

func (p *partitions) drop(holder Holder) {
	group, bit := p.of(holder)
	for at := range group.shards {
		group.shards[at].drop(bit)
	}
}

// size counts the pairs of part and holder, and the bytes of the tables.
func (p *partitions) size() (kept, bytes int) {
	for _, group := range p.all() {
		for at := range group.shards {
			shard := &group.shards[at]
			kept += int(shard.kept.Load())
			bytes += shard.table.Load().slots() * bytesPerSlot
		}
	}
	return kept, bytes
}

// heldBy lists the hashes of a holder.
func (p *partitions) heldBy(holder Holder) []ChainHash {
	group, bit := p.of(holder)
	var held []ChainHash
	for at := range group.shards {
		held = group.shards[at].appendHeld(held, bit)
	}
	return held
}
