package prefixindex

import (
	"slices"
	"time"
)

// SetTokens records that a holder reported to keep so many tokens of a part, from
// the part's beginning. 0 tokens mean that it keeps none of it any more. A
// lookup counts no more than these tokens, and ends there for this holder if
// they are fewer than its prompt states.
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

// DemoteReported turns all that a holder reported into predictions that end after ttl,
// because some of its reports were lost. New reports confirm them one by one.
func (x *Index) DemoteReported(now, ttl time.Duration, owner Owner) {
	hashes := x.reported.hashesOf(owner)
	for _, hash := range hashes {
		x.sizes.setUncertain(owner, hash)
	}
	x.predicted.addHashes(now, ttl, owner, hashes)
	x.reported.drop(owner)
}

// ReportedChunks lists what a holder reported to keep, see Hold, in the order of the names.
// Parts in doubt are left out.
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
