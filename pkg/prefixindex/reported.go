package prefixindex

import (
	"slices"
	"time"
)

// SetTokens records that an owner reported the number of tokens that it caches of
// a chunk, from the chunk's beginning. With 0 it caches none of it any more. A
// lookup counts no more than these tokens, and ends there for this owner if they
// are fewer than its prompt states.
func (x *Index) SetTokens(owner Owner, hash ChainHash, tokens uint32) {
	if tokens == 0 {
		x.Remove(owner, []ChainHash{hash})
		return
	}
	if !x.sizes.set(owner, hash, tokens) {
		return
	}
	x.reported.put(owner, hash)
	x.predicted.remove(owner, []ChainHash{hash})
}

// DemoteReported turns all that an owner reported into predictions that end after
// ttl, because some of its reports were lost. New reports confirm them one by one.
func (x *Index) DemoteReported(now, ttl time.Duration, owner Owner) {
	hashes := x.reported.hashesOf(owner)
	for _, hash := range hashes {
		x.sizes.setUncertain(owner, hash)
	}
	x.predicted.addHashes(now, ttl, owner, hashes)
	x.reported.drop(owner)
}

// ReportedChunks returns the chunks that an owner reported by SetTokens, in the
// order of their hashes. Uncertain ones are left out.
func (x *Index) ReportedChunks(owner Owner) []Link {
	hashes := x.reported.hashesOf(owner)
	slices.Sort(hashes)
	links := make([]Link, 0, len(hashes))
	for _, hash := range hashes {
		if tokens, certain := x.sizes.get(owner, hash); certain {
			links = append(links, Link{Hash: hash, Tokens: tokens})
		}
	}
	return links
}
