package prefixindex

import (
	"slices"
	"time"
)

// Hold records that a holder reported to keep so many tokens of a part, from
// the part's beginning. 0 tokens mean that it keeps none of it any more. A
// lookup counts no more than these tokens, and ends there for this holder if
// they are fewer than its prompt states.
func (x *Index) Hold(holder Holder, hash ChainHash, tokens uint32) {
	if tokens == 0 {
		x.Remove(holder, []ChainHash{hash})
		return
	}
	if !x.sizes.set(holder, hash, tokens) {
		return
	}
	x.reported.put(holder, hash)
	x.predicted.remove(holder, []ChainHash{hash})
}

// Doubt turns all that a holder reported into predictions that end after ttl,
// because some of its reports were lost. New reports confirm them one by one.
func (x *Index) Doubt(now, ttl time.Duration, holder Holder) {
	hashes := x.reported.heldBy(holder)
	for _, hash := range hashes {
		x.sizes.doubt(holder, hash)
	}
	x.predicted.addHashes(now, ttl, holder, hashes)
	x.reported.drop(holder)
}

// Held lists what a holder reported to keep, see Hold, in the order of the names.
// Parts in doubt are left out.
func (x *Index) Held(holder Holder) []Link {
	hashes := x.reported.heldBy(holder)
	slices.Sort(hashes)
	held := make([]Link, 0, len(hashes))
	for _, hash := range hashes {
		if tokens, known := x.sizes.get(holder, hash); known {
			held = append(held, Link{Hash: hash, Tokens: tokens})
		}
	}
	return held
}
