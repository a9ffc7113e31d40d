package kvrouter

import "github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"

// maxRecentHashes bounds each of the two generations of recentHashes.
const maxRecentHashes = 1 << 15

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
