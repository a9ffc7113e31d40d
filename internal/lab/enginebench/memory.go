package enginebench

import (
	"container/list"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const blockTokens = 16

// roundUp returns the tokens of the blocks that hold so many tokens.
func roundUp(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// keptPart is a part in a memory.
type keptPart struct {
	id   string
	full int
	// kept is what is left of it, from its beginning.
	kept int
	pins int
}

// change is what happened to a part: what is kept of it now.
type change struct {
	id   string
	kept int
}

// memory holds parts of prompts and the own tokens of running requests. Parts
// that no running request uses give way, the least recently used first and from
// their end.
type memory struct {
	total int
	used  int
	parts map[string]*list.Element
	// recent has the part used last in front.
	recent  *list.List
	changes []change
}

func newMemory(total int) *memory {
	return &memory{total: total, parts: map[string]*list.Element{}, recent: list.New()}
}

// pinned counts what cannot give way.
func (m *memory) pinned() int {
	free := 0
	for at := m.recent.Back(); at != nil; at = at.Prev() {
		if part := at.Value.(*keptPart); part.pins == 0 {
			free += roundUp(part.kept)
		}
	}
	return m.used - free
}

// leading counts the tokens that are kept from the beginning of a prompt, and
// the whole parts among them.
func (m *memory) leading(parts []prefixindex.Part) (tokens, whole int) {
	for _, part := range parts {
		element, present := m.parts[part.ID]
		if !present {
			return tokens, whole
		}
		kept := min(element.Value.(*keptPart).kept, int(part.Tokens))
		tokens += kept
		if kept < int(part.Tokens) {
			return tokens, whole
		}
		whole++
	}
	return tokens, whole
}

// reserve makes room for tokens; it returns false when running requests use too
// much.
func (m *memory) reserve(tokens int) bool {
	tokens = roundUp(tokens)
	for at := m.recent.Back(); at != nil && m.used+tokens > m.total; {
		previous := at.Prev()
		m.evict(at, m.used+tokens-m.total)
		at = previous
	}
	if m.used+tokens > m.total {
		return false
	}
	m.used += tokens
	return true
}

func (m *memory) release(tokens int) { m.used -= roundUp(tokens) }

// evict takes tokens off the end of a part that is not in use.
func (m *memory) evict(element *list.Element, tokens int) {
	part := element.Value.(*keptPart)
	if part.pins > 0 {
		return
	}
	before := roundUp(part.kept)
	part.kept = max(0, (before-roundUp(tokens))/blockTokens*blockTokens)
	m.used -= before - roundUp(part.kept)
	m.changes = append(m.changes, change{id: part.id, kept: part.kept})
	if part.kept == 0 {
		m.recent.Remove(element)
		delete(m.parts, part.id)
	}
}

// keep adds a whole part, whose tokens were reserved; it returns false when the
// part was there, so that the reserved tokens are to be released.
func (m *memory) keep(id string, tokens int) bool {
	element, present := m.parts[id]
	if !present {
		m.parts[id] = m.recent.PushFront(&keptPart{id: id, full: tokens, kept: tokens})
		m.changes = append(m.changes, change{id: id, kept: tokens})
		return true
	}
	part := element.Value.(*keptPart)
	if part.kept >= tokens {
		return false
	}
	m.used -= roundUp(part.kept)
	part.kept, part.full = tokens, tokens
	m.changes = append(m.changes, change{id: id, kept: tokens})
	return true
}

func (m *memory) pin(id string) bool {
	element, present := m.parts[id]
	if !present {
		return false
	}
	m.recent.MoveToFront(element)
	element.Value.(*keptPart).pins++
	return true
}

func (m *memory) unpin(id string) {
	if element, present := m.parts[id]; present {
		element.Value.(*keptPart).pins--
	}
}

// takeChanges returns the changes since the last call.
func (m *memory) takeChanges() []change {
	changes := m.changes
	m.changes = nil
	return changes
}
