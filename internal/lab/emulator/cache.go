package emulator

import (
	"container/list"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// CachedChunk is a chunk of a prompt in memory, with the truth about who made it.
type CachedChunk struct {
	Hash   prefixindex.ChainHash `json:"hash"`
	Parent prefixindex.ChainHash `json:"parent"`
	Tokens uint32                `json:"tokens"`
	// Tenant is the true tenant whose request made the chunk.
	Tenant string `json:"tenant"`
	// WeightVersion is the true version of the weights that made the chunk.
	WeightVersion string `json:"weight_version"`
}

// Cache keeps chunks up to a number of tokens and evicts the least recently used
// one first. Parts of a chain are touched from the deepest to the first, so that
// a chain loses its end before its start.
type Cache struct {
	capacity     uint64
	cachedTokens uint64
	reserved     uint64
	entries      map[prefixindex.ChainHash]*list.Element
	// recent runs from the most to the least recently used entry.
	recent *list.List
}

type cacheEntry struct {
	chunk CachedChunk
	pins  int
}

// NewCache returns an empty cache of the given capacity in tokens.
func NewCache(capacityTokens uint64) *Cache {
	return &Cache{
		capacity: capacityTokens,
		entries:  map[prefixindex.ChainHash]*list.Element{},
		recent:   list.New(),
	}
}

// CachedTokens returns the tokens of all cached chunks.
func (c *Cache) CachedTokens() uint64 { return c.cachedTokens }

// Get returns a chunk if it is kept.
func (c *Cache) Get(hash prefixindex.ChainHash) (CachedChunk, bool) {
	element, ok := c.entries[hash]
	if !ok {
		return CachedChunk{}, false
	}
	return element.Value.(*cacheEntry).chunk, true
}

// Leading returns the cached chunks of a chain up to the first one that is missing.
func (c *Cache) Leading(links []prefixindex.Link) []CachedChunk {
	var chunks []CachedChunk
	for _, link := range links {
		chunk, ok := c.Get(link.Hash)
		if !ok {
			break
		}
		chunks = append(chunks, chunk)
	}
	return chunks
}

// Touch marks the cached chunks of a chain as just used.
func (c *Cache) Touch(links []prefixindex.Link) {
	for position := len(links) - 1; position >= 0; position-- {
		if element, ok := c.entries[links[position].Hash]; ok {
			c.recent.MoveToFront(element)
		}
	}
}

// Pin keeps chunks from eviction until Unpin is called as often. It returns the
// hashes that are kept and so were pinned.
func (c *Cache) Pin(links []prefixindex.Link) []prefixindex.ChainHash {
	var pinned []prefixindex.ChainHash
	for _, link := range links {
		element, ok := c.entries[link.Hash]
		if !ok {
			continue
		}
		element.Value.(*cacheEntry).pins++
		pinned = append(pinned, link.Hash)
	}
	return pinned
}

// Unpin undoes one Pin of each chunk.
func (c *Cache) Unpin(hashes []prefixindex.ChainHash) {
	for _, hash := range hashes {
		if element, ok := c.entries[hash]; ok {
			element.Value.(*cacheEntry).pins--
		}
	}
}

// Put keeps a chunk as the most recently used one. A chunk that is kept already
// stays as it was first made. The chunk is not stored when pinned chunks leave no
// room for it.
func (c *Cache) Put(chunk CachedChunk) (stored bool, removed []CachedChunk) {
	if _, ok := c.entries[chunk.Hash]; ok {
		return false, nil
	}
	removed, fits := c.evictFor(uint64(chunk.Tokens))
	if !fits {
		return false, removed
	}
	c.entries[chunk.Hash] = c.recent.PushFront(&cacheEntry{chunk: chunk})
	c.cachedTokens += uint64(chunk.Tokens)
	return true, removed
}

// PutChain keeps chunks of one chain, in order, up to the first one that finds no
// room. None of them makes room for another.
func (c *Cache) PutChain(chunks []CachedChunk) (stored, removed []CachedChunk) {
	var pinned []prefixindex.ChainHash
	for _, chunk := range chunks {
		added, evicted := c.Put(chunk)
		removed = append(removed, evicted...)
		if added {
			stored = append(stored, chunk)
		}
		pins := c.Pin([]prefixindex.Link{{Hash: chunk.Hash}})
		if len(pins) == 0 {
			break
		}
		pinned = append(pinned, pins...)
	}
	c.Unpin(pinned)
	return stored, removed
}

// Reserve takes memory for the output of an active request and evicts chunks for
// it. Release gives it back.
func (c *Cache) Reserve(tokens uint64) (removed []CachedChunk) {
	removed, _ = c.evictFor(tokens)
	c.reserved += tokens
	return removed
}

// Release gives back memory taken by Reserve.
func (c *Cache) Release(tokens uint64) { c.reserved -= tokens }

// All returns every cached chunk, the least recently used one last.
func (c *Cache) All() []CachedChunk {
	chunks := make([]CachedChunk, 0, len(c.entries))
	for element := c.recent.Front(); element != nil; element = element.Next() {
		chunks = append(chunks, element.Value.(*cacheEntry).chunk)
	}
	return chunks
}

// evictFor evicts unpinned chunks until the tokens fit.
func (c *Cache) evictFor(tokens uint64) (removed []CachedChunk, fits bool) {
	element := c.recent.Back()
	for c.cachedTokens+c.reserved+tokens > c.capacity {
		if element == nil {
			return removed, false
		}
		previous := element.Prev()
		entry := element.Value.(*cacheEntry)
		if entry.pins == 0 {
			c.recent.Remove(element)
			delete(c.entries, entry.chunk.Hash)
			c.cachedTokens -= uint64(entry.chunk.Tokens)
			removed = append(removed, entry.chunk)
		}
		element = previous
	}
	return removed, true
}
