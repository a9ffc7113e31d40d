package emulator

import (
	"container/list"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// KeptPart is a prompt part in memory, with the truth about who made it.
type KeptPart struct {
	Hash   prefixindex.ChainHash `json:"hash"`
	Parent prefixindex.ChainHash `json:"parent"`
	Tokens uint32                `json:"tokens"`
	// Tenant is the true tenant whose request made the part.
	Tenant string `json:"tenant"`
	// WeightVersion is the true version of the weights that made the part.
	WeightVersion string `json:"weight_version"`
}

// Cache keeps parts up to a number of tokens and evicts the least recently used
// one first. Parts of a chain are touched from the deepest to the first, so that
// a chain loses its end before its start.
type Cache struct {
	capacity uint64
	kept     uint64
	reserved uint64
	entries  map[prefixindex.ChainHash]*list.Element
	// recent runs from the most to the least recently used entry.
	recent *list.List
}

type cacheEntry struct {
	part KeptPart
	pins int
}

// NewCache returns an empty cache of the given capacity in tokens.
func NewCache(capacityTokens uint64) *Cache {
	return &Cache{
		capacity: capacityTokens,
		entries:  map[prefixindex.ChainHash]*list.Element{},
		recent:   list.New(),
	}
}

// KeptTokens returns the tokens of all kept parts.
func (c *Cache) KeptTokens() uint64 { return c.kept }

// Get returns a part if it is kept.
func (c *Cache) Get(hash prefixindex.ChainHash) (KeptPart, bool) {
	element, ok := c.entries[hash]
	if !ok {
		return KeptPart{}, false
	}
	return element.Value.(*cacheEntry).part, true
}

// Leading returns the kept parts of a chain up to the first one that is missing.
func (c *Cache) Leading(links []prefixindex.Link) []KeptPart {
	var parts []KeptPart
	for _, link := range links {
		part, ok := c.Get(link.Hash)
		if !ok {
			break
		}
		parts = append(parts, part)
	}
	return parts
}

// Touch marks the kept parts of a chain as just used.
func (c *Cache) Touch(links []prefixindex.Link) {
	for position := len(links) - 1; position >= 0; position-- {
		if element, ok := c.entries[links[position].Hash]; ok {
			c.recent.MoveToFront(element)
		}
	}
}

// Pin keeps parts from eviction until Unpin is called as often. It returns the
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

// Unpin undoes one Pin of each part.
func (c *Cache) Unpin(hashes []prefixindex.ChainHash) {
	for _, hash := range hashes {
		if element, ok := c.entries[hash]; ok {
			element.Value.(*cacheEntry).pins--
		}
	}
}

// Put keeps a part as the most recently used one. A part that is kept already
// stays as it was first made. The part is not stored when pinned parts leave no
// room for it.
func (c *Cache) Put(part KeptPart) (stored bool, removed []KeptPart) {
	if _, ok := c.entries[part.Hash]; ok {
		return false, nil
	}
	removed, room := c.makeRoom(uint64(part.Tokens))
	if !room {
		return false, removed
	}
	c.entries[part.Hash] = c.recent.PushFront(&cacheEntry{part: part})
	c.kept += uint64(part.Tokens)
	return true, removed
}

// PutChain keeps parts of one chain, in order, up to the first one that finds no
// room. None of them makes room for another.
func (c *Cache) PutChain(parts []KeptPart) (stored, removed []KeptPart) {
	var pinned []prefixindex.ChainHash
	for _, part := range parts {
		added, evicted := c.Put(part)
		removed = append(removed, evicted...)
		if added {
			stored = append(stored, part)
		}
		pins := c.Pin([]prefixindex.Link{{Hash: part.Hash}})
		if len(pins) == 0 {
			break
		}
		pinned = append(pinned, pins...)
	}
	c.Unpin(pinned)
	return stored, removed
}

// Reserve takes memory for the output of an active request and evicts parts for
// it. Release gives it back.
func (c *Cache) Reserve(tokens uint64) (removed []KeptPart) {
	removed, _ = c.makeRoom(tokens)
	c.reserved += tokens
	return removed
}

// Release gives back memory taken by Reserve.
func (c *Cache) Release(tokens uint64) { c.reserved -= tokens }

// All returns every kept part, the least recently used one last.
func (c *Cache) All() []KeptPart {
	parts := make([]KeptPart, 0, len(c.entries))
	for element := c.recent.Front(); element != nil; element = element.Next() {
		parts = append(parts, element.Value.(*cacheEntry).part)
	}
	return parts
}

// makeRoom evicts unpinned parts until the tokens fit.
func (c *Cache) makeRoom(tokens uint64) (removed []KeptPart, room bool) {
	element := c.recent.Back()
	for c.kept+c.reserved+tokens > c.capacity {
		if element == nil {
			return removed, false
		}
		previous := element.Prev()
		entry := element.Value.(*cacheEntry)
		if entry.pins == 0 {
			c.recent.Remove(element)
			delete(c.entries, entry.part.Hash)
			c.kept -= uint64(entry.part.Tokens)
			removed = append(removed, entry.part)
		}
		element = previous
	}
	return removed, true
}
