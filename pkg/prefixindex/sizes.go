package prefixindex

import (
	"sync"
	"sync/atomic"
)

// sizeShards is the number of parts of the sizes that are locked apart.
const sizeShards = 64

// keptSize says how many tokens of a part a holder keeps. The holder may have
// evicted the end of the part.
type keptSize struct {
	holder Holder
	tokens uint32
	// doubted sizes belong to a part that was reported once, and that counts as
	// predicted since reports were lost.
	doubted bool
}

// sizes knows the kept tokens of parts whose holders report them. Holders that
// report whole parts only have no entry.
type sizes struct {
	maximum int64
	count   atomic.Int64
	shards  [sizeShards]sizeShard
}

type sizeShard struct {
	mutex sync.RWMutex
	kept  map[ChainHash][]keptSize
}

func newSizes(maximum int) *sizes {
	created := &sizes{maximum: int64(maximum)}
	for at := range created.shards {
		created.shards[at].kept = make(map[ChainHash][]keptSize)
	}
	return created
}

func (s *sizes) of(hash ChainHash) *sizeShard {
	return &s.shards[mix(hash)%sizeShards]
}

// get returns the kept tokens of a part that is reported.
func (s *sizes) get(holder Holder, hash ChainHash) (uint32, bool) {
	shard := s.of(hash)
	shard.mutex.RLock()
	defer shard.mutex.RUnlock()
	for _, kept := range shard.kept[hash] {
		if kept.holder == holder {
			return kept.tokens, !kept.doubted
		}
	}
	return 0, false
}

// set records the kept tokens of a part that is reported. It returns false when
// there is no room for another.
func (s *sizes) set(holder Holder, hash ChainHash, tokens uint32) bool {
	shard := s.of(hash)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	known := shard.kept[hash]
	for at := range known {
		if known[at].holder == holder {
			known[at] = keptSize{holder: holder, tokens: tokens}
			return true
		}
	}
	if s.count.Load() >= s.maximum {
		return false
	}
	shard.kept[hash] = append(known, keptSize{holder: holder, tokens: tokens})
	s.count.Add(1)
	return true
}

// doubt marks the size of a part that counts as predicted from now on.
func (s *sizes) doubt(holder Holder, hash ChainHash) {
	shard := s.of(hash)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	for at := range shard.kept[hash] {
		if shard.kept[hash][at].holder == holder {
			shard.kept[hash][at].doubted = true
		}
	}
}

// clear forgets the size of a part of a holder.
func (s *sizes) clear(holder Holder, hash ChainHash, doubtedOnly bool) {
	if s.count.Load() == 0 {
		return
	}
	shard := s.of(hash)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	s.clearLocked(shard, hash, func(kept keptSize) bool {
		return kept.holder == holder && (kept.doubted || !doubtedOnly)
	})
}

// drop forgets the sizes of all parts of a holder.
func (s *sizes) drop(holder Holder) {
	if s.count.Load() == 0 {
		return
	}
	for at := range s.shards {
		shard := &s.shards[at]
		shard.mutex.Lock()
		for hash := range shard.kept {
			s.clearLocked(shard, hash, func(kept keptSize) bool { return kept.holder == holder })
		}
		shard.mutex.Unlock()
	}
}

// clearLocked forgets the sizes of a part that match. The shard's lock is held.
func (s *sizes) clearLocked(shard *sizeShard, hash ChainHash, matches func(keptSize) bool) {
	known := shard.kept[hash]
	left := known[:0]
	for _, kept := range known {
		if !matches(kept) {
			left = append(left, kept)
		}
	}
	s.count.Add(int64(len(left) - len(known)))
	if len(left) == 0 {
		delete(shard.kept, hash)
		return
	}
	shard.kept[hash] = left
}

// shorter calls visit for each holder that keeps fewer tokens of a part than
// the prompt states.
func (s *sizes) shorter(hash ChainHash, tokens uint32, visit func(keptSize)) {
	shard := s.of(hash)
	shard.mutex.RLock()
	defer shard.mutex.RUnlock()
	for _, kept := range shard.kept[hash] {
		if kept.tokens < tokens {
			visit(kept)
		}
	}
}
