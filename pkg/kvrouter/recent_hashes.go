package kvrouter

import "github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"

// maxRecentHashes bounds each of the two generations of seen parts.
const maxRecentHashes = 1 << 15

// recentHashes remembers which parts came lately, in two generations: when the
// newer one is full it becomes the older one, whose parts are forgotten.
type recentHashes struct {
	newer, older map[prefixindex.ChainHash]struct{}
}

// add tells whether a part was seen lately, and remembers it.
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
