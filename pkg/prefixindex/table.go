package prefixindex

import "sync/atomic"

const (
	// wordsPerSlot is the size of a slot in machine words of 64 bits: the chain
	// hash, and the set of the owners that cache the chunk.
	wordsPerSlot = 2
	// bytesPerSlot is the memory that a slot takes.
	bytesPerSlot = wordsPerSlot * 8
	// minimumSlots is the smallest capacity of a table.
	minimumSlots = 16
	// mixFactor is that of Fibonacci hashing: 2^64 divided by the golden ratio, which is
	// odd and has its bits well spread.
	mixFactor = 0x9E3779B97F4A7C15
)

// ownerSet is a set of the owners of one partition, a bit each.
type ownerSet uint64

// table is an open-addressing hash table with linear probing, which maps a
// chain hash to the set of its owners. A slot with an empty set is free.
//
// The words are written under the lock of the table's shard and read without
// it, hence the atomic access. A reader may see a slot half written; the
// shard's version tells it so.
type table struct {
	words []uint64
	mask  uint64
}

func newTable(slots int) *table {
	return &table{words: make([]uint64, slots*wordsPerSlot), mask: uint64(slots - 1)}
}

func (t *table) slots() int { return int(t.mask) + 1 }

func (t *table) load(slot uint64) (ChainHash, ownerSet) {
	first := slot * wordsPerSlot
	return ChainHash(atomic.LoadUint64(&t.words[first])), ownerSet(atomic.LoadUint64(&t.words[first+1]))
}

func (t *table) store(slot uint64, hash ChainHash, owners ownerSet) {
	first := slot * wordsPerSlot
	atomic.StoreUint64(&t.words[first], uint64(hash))
	atomic.StoreUint64(&t.words[first+1], uint64(owners))
}

// home returns the slot at which the search for a hash begins.
func (t *table) home(hash ChainHash) uint64 { return mix(hash) & t.mask }

// find returns the slot of a hash and its owners, or a free slot where the
// hash belongs. The search is bounded by the size of the table also when a
// writer changes it meanwhile.
func (t *table) find(hash ChainHash) (slot uint64, owners ownerSet) {
	slot = t.home(hash)
	for range t.slots() {
		stored, owners := t.load(slot)
		if owners == 0 || stored == hash {
			return slot, owners
		}
		slot = (slot + 1) & t.mask
	}
	return slot, 0
}

// erase frees a slot by backward-shift deletion: it moves later slots back, so that no
// search ends at the free slot before it has reached its hash.
func (t *table) erase(hole uint64) {
	next := hole
	for {
		next = (next + 1) & t.mask
		hash, owners := t.load(next)
		if owners == 0 {
			break
		}
		distanceFromHome := (next - t.home(hash)) & t.mask
		distanceFromHole := (next - hole) & t.mask
		if distanceFromHome >= distanceFromHole {
			t.store(hole, hash, owners)
			hole = next
		}
	}
	t.store(hole, 0, 0)
}

// copyTo inserts every slot into an empty table.
func (t *table) copyTo(target *table) {
	for slot := range uint64(t.slots()) {
		hash, owners := t.load(slot)
		if owners == 0 {
			continue
		}
		free, _ := target.find(hash)
		target.store(free, hash, owners)
	}
}

// mix spreads a hash over all bits, since the hashes come from other processes and
// the table and the choice of the shard use different bits of the result.
func mix(hash ChainHash) uint64 {
	mixed := uint64(hash) * mixFactor
	return mixed ^ mixed>>32
}
