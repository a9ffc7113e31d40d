package prefixindex

import (
	"math/bits"
	"sync"
	"sync/atomic"
)

const (
	// optimisticReads is how often a lookup tries to read without the lock before it
	// takes the lock.
	optimisticReads = 4
	// A table grows when more than growNumerator/growDenominator of its slots
	// are in use, and shrinks when fewer than one in shrinkDivisor are.
	growNumerator   = 3
	growDenominator = 4
	shrinkDivisor   = 8
)

// shard holds the chunks of a partition whose mixed hashes have the same leading bits.
//
// It is a sequence lock. Invariant: version is odd exactly while a writer changes the
// table. A reader that loads the same even version before and after its reads has read
// one consistent state, without a write to memory that it shares with other readers.
type shard struct {
	version atomic.Uint64
	table   atomic.Pointer[table]
	// used counts the slots in use; pairs counts the pairs of chunk and owner.
	used  atomic.Int64
	pairs atomic.Int64
	// mutex is held by writers, by lookups that found no consistent state, and while
	// the whole table is read.
	mutex sync.Mutex
	_     [24]byte // pads a shard to 64 bytes, so that two shards don't share a cache line
}

func (s *shard) init() { s.table.Store(newTable(minimumSlots)) }

// find returns the owners of a hash.
func (s *shard) find(hash ChainHash) ownerSet {
	for range optimisticReads {
		before := s.version.Load()
		if before%2 == 1 {
			continue
		}
		_, owners := s.table.Load().find(hash)
		if s.version.Load() == before {
			return owners
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, owners := s.table.Load().find(hash)
	return owners
}

// beginWrite is called before every change of the table, and endWrite after it.
func (s *shard) beginWrite() {
	s.mutex.Lock()
	s.version.Add(1)
}

func (s *shard) endWrite() {
	s.version.Add(1)
	s.mutex.Unlock()
}

// put adds owners to a hash.
func (s *shard) put(hash ChainHash, added ownerSet) {
	s.beginWrite()
	defer s.endWrite()
	current := s.table.Load()
	slot, owners := current.find(hash)
	if owners&added == added {
		return
	}
	current.store(slot, hash, owners|added)
	s.pairs.Add(int64(bits.OnesCount64(uint64(added &^ owners))))
	if owners != 0 {
		return
	}
	used := int(s.used.Add(1))
	if used*growDenominator > current.slots()*growNumerator {
		s.resize(current.slots() * 2)
	}
}

// remove removes owners from a hash.
func (s *shard) remove(hash ChainHash, removed ownerSet) {
	s.beginWrite()
	defer s.endWrite()
	current := s.table.Load()
	slot, owners := current.find(hash)
	if owners&removed == 0 {
		return
	}
	s.removeAt(current, slot, removed)
	s.shrink()
}

// drop removes owners from all hashes.
func (s *shard) drop(removed ownerSet) {
	if s.used.Load() == 0 {
		return
	}
	s.beginWrite()
	defer s.endWrite()
	current := s.table.Load()
	for slot := range uint64(current.slots()) {
		// When the slot is freed, a later entry may move into it.
		for s.removeAt(current, slot, removed) {
		}
	}
	s.shrink()
}

// removeAt removes owners from a slot, and reports whether that freed the slot.
func (s *shard) removeAt(current *table, slot uint64, removed ownerSet) bool {
	hash, owners := current.load(slot)
	remaining := owners &^ removed
	if remaining == owners {
		return false
	}
	s.pairs.Add(-int64(bits.OnesCount64(uint64(owners & removed))))
	if remaining != 0 {
		current.store(slot, hash, remaining)
		return false
	}
	current.erase(slot)
	s.used.Add(-1)
	return true
}

// shrink halves the table as often as the used slots permit, to release memory after
// many removals.
func (s *shard) shrink() {
	slots := s.table.Load().slots()
	smaller := slots
	for smaller > minimumSlots && int(s.used.Load())*shrinkDivisor < smaller {
		smaller /= 2
	}
	if smaller < slots {
		s.resize(smaller)
	}
}

func (s *shard) resize(slots int) {
	resized := newTable(slots)
	s.table.Load().copyTo(resized)
	s.table.Store(resized)
}

// appendHashesOf appends the hashes of the chunks that the given owner caches.
func (s *shard) appendHashesOf(hashes []ChainHash, owner ownerSet) []ChainHash {
	if s.used.Load() == 0 {
		return hashes
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.table.Load()
	for slot := range uint64(current.slots()) {
		if hash, owners := current.load(slot); owners&owner != 0 {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}
