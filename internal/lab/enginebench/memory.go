package enginebench

import (
	"container/list"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// blockTokens is the size of a block of memory, in tokens.
const blockTokens = 16

// alignToBlocks rounds a number of tokens up to whole blocks.
func alignToBlocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// cachedChunk is a chunk in memory.
type cachedChunk struct {
	id string
	// cached is how many of its tokens are left, from its beginning.
	cached int
	// pins counts the running requests that use the chunk.
	pins int
}

// change is a change of a chunk: how many of its tokens are cached now.
type change struct {
	id     string
	cached int
}

// memory holds chunks of prompts and the unshared tokens of running requests. Chunks
// that no running request uses can be evicted, the least recently used first and from
// their end. Sizes are in tokens.
type memory struct {
	total int
	used  int
	// chunks are the elements of recent by the ID of their chunk.
	chunks map[string]*list.Element
	// recent has the most recently used chunk in front.
	recent *list.List
	// changes are those since takeChanges.
	changes []change
}

func newMemory(total int) *memory {
	return &memory{total: total, chunks: map[string]*list.Element{}, recent: list.New()}
}

// pinned counts the tokens that can't be evicted.
func (m *memory) pinned() int {
	free := 0
	for element := m.recent.Back(); element != nil; element = element.Prev() {
		if chunk := element.Value.(*cachedChunk); chunk.pins == 0 {
			free += alignToBlocks(chunk.cached)
		}
	}
	return m.used - free
}

// leading counts the tokens that are cached from the beginning of a prompt, and
// the complete chunks among them.
func (m *memory) leading(chunks []prefixindex.Chunk) (tokens, complete int) {
	for _, chunk := range chunks {
		element, present := m.chunks[chunk.ID]
		if !present {
			return tokens, complete
		}
		cached := min(element.Value.(*cachedChunk).cached, int(chunk.Tokens))
		tokens += cached
		if cached < int(chunk.Tokens) {
			return tokens, complete
		}
		complete++
	}
	return tokens, complete
}

// reserve reserves memory for tokens, and evicts chunks for it. It returns false when
// running requests use too much.
func (m *memory) reserve(tokens int) bool {
	tokens = alignToBlocks(tokens)
	for element := m.recent.Back(); element != nil && m.used+tokens > m.total; {
		previous := element.Prev()
		m.evict(element, m.used+tokens-m.total)
		element = previous
	}
	if m.used+tokens > m.total {
		return false
	}
	m.used += tokens
	return true
}

// release gives back what reserve reserved for tokens.
func (m *memory) release(tokens int) { m.used -= alignToBlocks(tokens) }

// evict evicts tokens from the end of a chunk that is not in use.
func (m *memory) evict(element *list.Element, tokens int) {
	chunk := element.Value.(*cachedChunk)
	if chunk.pins > 0 {
		return
	}
	before := alignToBlocks(chunk.cached)
	chunk.cached = max(0, (before-alignToBlocks(tokens))/blockTokens*blockTokens)
	m.used -= before - alignToBlocks(chunk.cached)
	m.changes = append(m.changes, change{id: chunk.id, cached: chunk.cached})
	if chunk.cached == 0 {
		m.recent.Remove(element)
		delete(m.chunks, chunk.id)
	}
}

// add adds a complete chunk, whose tokens the caller has reserved. It returns false when
// the chunk was cached before, so that the caller must release them.
func (m *memory) add(id string, tokens int) bool {
	element, present := m.chunks[id]
	if !present {
		m.chunks[id] = m.recent.PushFront(&cachedChunk{id: id, cached: tokens})
		m.changes = append(m.changes, change{id: id, cached: tokens})
		return true
	}
	chunk := element.Value.(*cachedChunk)
	if chunk.cached >= tokens {
		return false
	}
	m.used -= alignToBlocks(chunk.cached)
	chunk.cached = tokens
	m.changes = append(m.changes, change{id: id, cached: tokens})
	return true
}

// pin makes a chunk the most recently used one and prevents its eviction until unpin.
func (m *memory) pin(id string) {
	if element, present := m.chunks[id]; present {
		m.recent.MoveToFront(element)
		element.Value.(*cachedChunk).pins++
	}
}

// unpin ends one pin of a chunk.
func (m *memory) unpin(id string) {
	if element, present := m.chunks[id]; present {
		element.Value.(*cachedChunk).pins--
	}
}

// takeChanges returns the changes since the last call.
func (m *memory) takeChanges() []change {
	changes := m.changes
	m.changes = nil
	return changes
}
