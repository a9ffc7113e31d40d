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
	// mixFactor is the multiplier of Fibonacci hashing, 2^64 divided by the golden ratio:
	// it is odd and its bits are well distributed.
	mixFactor = 0x9E3779B97F4A7C15
)

// ownerSet is a set of owners of one partition, with one bit for each owner.
type ownerSet uint64

// table is an open-addressing hash table with linear probing, which maps a
// chain hash to the set of its owners. A slot with an empty set is free.
//
// Writers hold the lock of the table's shard, but readers may not, so the words are
// accessed atomically. A reader may load a slot that is only half written; it
// detects this by the shard's version.
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

// home returns the slot at which the probe sequence of a hash begins.
func (t *table) home(hash ChainHash) uint64 { return mix(hash) & t.mask }

// find returns the slot of a hash and its owners, or the free slot at which the
// hash is to be inserted. It probes each slot at most once, so that it ends even if
// a writer changes the table concurrently.
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

// erase frees a slot by backward-shift deletion: it moves later entries back, so that
// the free slot does not end a probe sequence before its hash is reached.
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

// copyTo inserts all entries into an empty table.
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

// mix distributes a hash over all bits of the result. Hashes come from other processes,
// so that their distribution is not known, and the table and the choice of the shard use
// different bits of the result.
func mix(hash ChainHash) uint64 {
	mixed := uint64(hash) * mixFactor
	return mixed ^ mixed>>32
}
