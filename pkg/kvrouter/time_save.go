package kvrouter

import "github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"

const (
	// maxSaveFraction is the largest fraction of the store that one prompt may take.
	maxSaveFraction = 0.125
	// maxRecentHashes bounds each of the two generations of recentHashes.
	maxRecentHashes = 1 << 15
)

// shouldSave reports whether the request is to save its chunks to the store: those
// that others are likely to use again, when the store lacks some of them. These
// are all but the last, and the last too when it has come before or is a session's.
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
	// Chunks on their way to the store count as cached.
	owner := m.replicas.state(req.Now, req.Store).owner
	stored := max(p.overlaps.Of(owner).Likely.Tokens, p.pending.Of(owner).Likely.Tokens)
	return tokens >= minPullTokens && float64(stored) < tokens
}

// recentHashes is the set of chunks that came lately, in two generations: when the
// newer one is full it replaces the older one.
type recentHashes struct {
	newer, older map[prefixindex.ChainHash]struct{}
}

// add reports whether a chunk is in the set, and adds it.
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
