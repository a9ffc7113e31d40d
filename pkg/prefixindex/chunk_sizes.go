package prefixindex

import (
	"sync"
	"sync/atomic"
)

// chunkSizeShards is the number of parts of the sizes that are locked apart.
const chunkSizeShards = 64

// cachedSize says how many tokens of a part a holder keeps. The holder may have
// evicted the end of the part.
type cachedSize struct {
	owner  Owner
	tokens uint32
	// uncertain sizes belong to a part that was reported once, and that counts as
	// predicted since reports were lost.
	uncertain bool
}

// chunkSizes knows the kept tokens of parts whose holders report them. Holders that
// report whole parts only have no entry.
type chunkSizes struct {
	maximum int64
	count   atomic.Int64
	shards  [chunkSizeShards]chunkSizeShard
}

type chunkSizeShard struct {
	mutex  sync.RWMutex
	byHash map[ChainHash][]cachedSize
}

func newChunkSizes(maximum int) *chunkSizes {
	created := &chunkSizes{maximum: int64(maximum)}
	for at := range created.shards {
		created.shards[at].byHash = make(map[ChainHash][]cachedSize)
	}
	return created
}

func (s *chunkSizes) shardOf(hash ChainHash) *chunkSizeShard {
	return &s.shards[mix(hash)%chunkSizeShards]
}

// get returns the kept tokens of a part that is reported.
func (s *chunkSizes) get(owner Owner, hash ChainHash) (uint32, bool) {
	shard := s.shardOf(hash)
	shard.mutex.RLock()
	defer shard.mutex.RUnlock()
	for _, size := range shard.byHash[hash] {
		if size.owner == owner {
			return size.tokens, !size.uncertain
		}
	}
	return 0, false
}

// set records the kept tokens of a part that is reported. It returns false when
// there is no room for another.
func (s *chunkSizes) set(owner Owner, hash ChainHash, tokens uint32) bool {
	shard := s.shardOf(hash)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	sizes := shard.byHash[hash]
	for at := range sizes {
		if sizes[at].owner == owner {
			sizes[at] = cachedSize{owner: owner, tokens: tokens}
			return true
		}
	}
	if s.count.Load() >= s.maximum {
		return false
	}
	shard.byHash[hash] = append(sizes, cachedSize{owner: owner, tokens: tokens})
	s.count.Add(1)
	return true
}

// setUncertain marks the size of a part that counts as predicted from now on.
func (s *chunkSizes) setUncertain(owner Owner, hash ChainHash) {
	shard := s.shardOf(hash)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	for at := range shard.byHash[hash] {
		if shard.byHash[hash][at].owner == owner {
			shard.byHash[hash][at].uncertain = true
		}
	}
}

// clear forgets the size of a part of a holder.
func (s *chunkSizes) clear(owner Owner, hash ChainHash, uncertainOnly bool) {
	if s.count.Load() == 0 {
		return
	}
	shard := s.shardOf(hash)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	s.clearLocked(shard, hash, func(size cachedSize) bool {
		return size.owner == owner && (size.uncertain || !uncertainOnly)
	})
}

// drop forgets the sizes of all parts of a holder.
func (s *chunkSizes) drop(owner Owner) {
	if s.count.Load() == 0 {
		return
	}
	for at := range s.shards {
		shard := &s.shards[at]
		shard.mutex.Lock()
		for hash := range shard.byHash {
			s.clearLocked(shard, hash, func(size cachedSize) bool { return size.owner == owner })
		}
		shard.mutex.Unlock()
	}
}

// clearLocked forgets the sizes of a part that match. The shard's lock is held.
func (s *chunkSizes) clearLocked(shard *chunkSizeShard, hash ChainHash, matches func(cachedSize) bool) {
	sizes := shard.byHash[hash]
	remaining := sizes[:0]
	for _, size := range sizes {
		if !matches(size) {
			remaining = append(remaining, size)
		}
	}
	s.count.Add(int64(len(remaining) - len(sizes)))
	if len(remaining) == 0 {
		delete(shard.byHash, hash)
		return
	}
	shard.byHash[hash] = remaining
}

// visitShorter calls visit for each holder that keeps fewer tokens of a part than
// the prompt states.
func (s *chunkSizes) visitShorter(hash ChainHash, tokens uint32, visit func(cachedSize)) {
	shard := s.shardOf(hash)
	shard.mutex.RLock()
	defer shard.mutex.RUnlock()
	for _, size := range shard.byHash[hash] {
		if size.tokens < tokens {
			visit(size)
		}
	}
}
