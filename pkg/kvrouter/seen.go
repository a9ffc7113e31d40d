package kvrouter

import "github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"

// maxSeen bounds each of the two generations of seen parts.
const maxSeen = 1 << 15

// seenParts remembers which parts came lately, in two generations: when the
// newer one is full it becomes the older one, whose parts are forgotten.
type seenParts struct {
	newer, older map[prefixindex.ChainHash]struct{}
}

// add tells whether a part was seen lately, and remembers it.
func (s *seenParts) add(part prefixindex.ChainHash) bool {
	_, inNewer := s.newer[part]
	_, inOlder := s.older[part]
	if inNewer {
		return true
	}
	if s.newer == nil || len(s.newer) >= maxSeen {
		s.older = s.newer
		s.newer = make(map[prefixindex.ChainHash]struct{})
	}
	s.newer[part] = struct{}{}
	return inOlder
}
