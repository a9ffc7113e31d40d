package kvrouter

import "github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"

const (
	// maxSaveFraction is the largest fraction of the store that one prompt may occupy.
	maxSaveFraction = 0.125
	// maxRecentHashes is the capacity of each of the two generations of recentHashes.
	maxRecentHashes = 1 << 15
)

// shouldSave reports whether the replica is to save the chunks of the prompt to the store. It
// does so if the store lacks some of the chunks that later requests are likely to reuse. These
// are all chunks but the last, and also the last one if it was requested before or belongs to a
// session.
func (m *timeModel) shouldSave(req *Request, p *prompt) bool {
	if req.Store == "" || len(p.links) == 0 || m.options.Disabled.SaveToStore {
		return false
	}
	last := len(p.links) - 1
	reused := m.recentHashes.add(p.links[last].Hash) || req.Session
	saved := p.links
	if !reused {
		saved = p.links[:last]
	}
	tokens := 0.0
	for _, link := range saved {
		tokens += float64(link.Tokens)
	}
	if capacity := req.Engine.StoreTokens; capacity > 0 && float64(req.promptTokens) > maxSaveFraction*capacity {
		return false
	}
	// Chunks that earlier requests are about to save count as cached.
	owner := m.replicas.state(req.Now, req.Store).owner
	stored := max(p.overlaps.Of(owner).Likely.Tokens, p.pending.Of(owner).Likely.Tokens)
	return tokens >= minPullTokens && float64(stored) < tokens
}

// recentHashes is the set of recently requested last chunks, in two generations: when the newer
// generation is full, it replaces the older one.
type recentHashes struct {
	newer, older map[prefixindex.ChainHash]struct{}
}

// add adds a chunk to the set and reports whether the set contained it before.
func (s *recentHashes) add(hash prefixindex.ChainHash) bool {
	_, inNewer := s.newer[hash]
	_, inOlder := s.older[hash]
	if inNewer {
		return true
	}
	if s.newer == nil || len(s.newer) >= maxRecentHashes {
		s.older = s.newer
		s.newer = make(map[prefixindex.ChainHash]struct{})
	}
	s.newer[hash] = struct{}{}
	return inOlder
}
