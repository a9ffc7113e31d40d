package prefixindex

import (
	"sync"
	"sync/atomic"
)

// chunkSizeShards is the number of separately locked shards of chunkSizes.
const chunkSizeShards = 64

// cachedSize is how many tokens of a chunk an owner caches, from the chunk's
// beginning. The owner may have evicted its end.
type cachedSize struct {
	owner  Owner
	tokens uint32
	// uncertain is set when reports of the owner were lost: from then on the chunk counts
	// as predicted, see Index.DemoteReported.
	uncertain bool
}

// chunkSizes holds the number of cached tokens of chunks whose owners report it. An
// owner that reports only whole chunks has no entries.
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
	for i := range created.shards {
		created.shards[i].byHash = make(map[ChainHash][]cachedSize)
	}
	return created
}

func (s *chunkSizes) shardOf(hash ChainHash) *chunkSizeShard {
	return &s.shards[mix(hash)%chunkSizeShards]
}

// get returns the reported tokens of a chunk, and false if there are none or they
// are uncertain.
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

// set records the reported tokens of a chunk. It returns false without recording them
// if the chunk has no entry for the owner and the table is full.
func (s *chunkSizes) set(owner Owner, hash ChainHash, tokens uint32) bool {
	shard := s.shardOf(hash)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	sizes := shard.byHash[hash]
	for i := range sizes {
		if sizes[i].owner == owner {
			sizes[i] = cachedSize{owner: owner, tokens: tokens}
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

// setUncertain marks the size of an owner's chunk as uncertain, so that the chunk counts
// as predicted.
func (s *chunkSizes) setUncertain(owner Owner, hash ChainHash) {
	shard := s.shardOf(hash)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	for i := range shard.byHash[hash] {
		if shard.byHash[hash][i].owner == owner {
			shard.byHash[hash][i].uncertain = true
		}
	}
}

// clear removes the size of an owner's chunk.
func (s *chunkSizes) clear(owner Owner, hash ChainHash) {
	s.clearIf(hash, func(size cachedSize) bool { return size.owner == owner })
}

// clearUncertain removes the size of an owner's chunk if it is uncertain.
func (s *chunkSizes) clearUncertain(owner Owner, hash ChainHash) {
	s.clearIf(hash, func(size cachedSize) bool { return size.owner == owner && size.uncertain })
}

// clearIf removes the sizes of a chunk that match.
func (s *chunkSizes) clearIf(hash ChainHash, matches func(cachedSize) bool) {
	if s.count.Load() == 0 {
		return
	}
	shard := s.shardOf(hash)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	s.clearLocked(shard, hash, matches)
}

// drop removes the sizes of all chunks of an owner.
func (s *chunkSizes) drop(owner Owner) {
	if s.count.Load() == 0 {
		return
	}
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mutex.Lock()
		for hash := range shard.byHash {
			s.clearLocked(shard, hash, func(size cachedSize) bool { return size.owner == owner })
		}
		shard.mutex.Unlock()
	}
}

// clearLocked does the same as clearIf; the caller must hold the shard's lock.
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

// visitShorter calls visit for each owner that caches fewer tokens of a chunk than the
// given number. It holds the shard's read lock during the calls.
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
