package prefixindex

import (
	"math"
	"math/bits"
	"time"
)

// Extent is how much of a prompt an owner caches from its beginning without a gap.
type Extent struct {
	// Chunks counts the leading chunks.
	Chunks int
	// Tokens is the sum of the tokens of these chunks, and of the cached tokens of the
	// next chunk if only its beginning is cached.
	Tokens uint32
}

// Overlap is what one owner caches of a prompt.
type Overlap struct {
	// Reported counts leading chunks that the owner reported.
	Reported Extent
	// Likely counts leading chunks that the owner reported or that are
	// predicted. It is never shorter than Reported.
	Likely Extent
}

// Overlaps is the result of a lookup. Its memory is reused from one lookup to the
// next; the zero value is ready for use. It is not safe for concurrent use.
type Overlaps struct {
	owners  []Owner
	byOwner []Overlap
}

// Of returns the overlap of an owner; zero when it caches nothing.
func (o *Overlaps) Of(owner Owner) Overlap {
	if int(owner) >= len(o.byOwner) {
		return Overlap{}
	}
	return o.byOwner[owner]
}

// Owners returns, in ascending order, the owners that cache at least the beginning of
// the first chunk, reported or predicted. The slice is valid until the next lookup.
func (o *Overlaps) Owners() []Owner { return o.owners }

// Overlaps replaces the content of into by the overlaps of all owners with a prompt. A
// chunk counts only when the owner caches all chunks before it.
func (x *Index) Overlaps(now time.Duration, links []Link, into *Overlaps) {
	into.clear()
	x.predicted.expire(now)
	reported := x.reported.all()
	var predicted []*partition
	if !x.predicted.empty() {
		predicted = x.predicted.partitions.all()
	}
	for number := range max(len(reported), len(predicted)) {
		walk := walk{into: into, firstOwner: Owner(number * ownersPerPartition)}
		if x.sizes.count.Load() > 0 {
			walk.sizes = x.sizes
		}
		if number < len(reported) {
			walk.reported = reported[number]
		}
		if number < len(predicted) {
			walk.predicted = predicted[number]
		}
		walk.run(links)
	}
}

func (o *Overlaps) clear() {
	for _, owner := range o.owners {
		o.byOwner[owner] = Overlap{}
	}
	o.owners = o.owners[:0]
}

// add appends an owner that caches the first chunk, with an empty overlap.
func (o *Overlaps) add(owner Owner) {
	o.owners = append(o.owners, owner)
	for int(owner) >= len(o.byOwner) {
		o.byOwner = append(o.byOwner, Overlap{})
	}
}

// walk determines the overlaps of the owners of one partition, chunk by chunk. The sets
// of owners that cache all chunks so far only shrink, so that the extent of an owner is
// recorded once: at the first chunk that the owner does not cache completely.
type walk struct {
	into       *Overlaps
	firstOwner Owner
	reported   *partition
	predicted  *partition
	// sizes is nil when no owner reports sizes.
	sizes *chunkSizes
}

// run records the overlap of each owner. The variable reached is the extent of the
// chunks so far; reported and likely are the sets of owners that cache all of them.
func (w *walk) run(links []Link) {
	reported, likely := ^ownerSet(0), ^ownerSet(0)
	reached := Extent{}
	for position, link := range links {
		// reporting and predicted are the owners of this chunk, whatever they cache
		// before it.
		reporting := find(w.reported, link.Hash)
		predicted := find(w.predicted, link.Hash)
		stillReported := reported & reporting
		stillLikely := likely & (reporting | predicted)
		if position == 0 {
			w.addOwners(stillLikely)
		} else {
			w.recordExtent(reported&^stillReported, likely&^stillLikely, reached)
		}
		if w.sizes != nil && stillLikely != 0 {
			partlyReported, partlyLikely := w.recordPartial(link, stillReported, stillLikely, predicted, reached)
			stillReported &^= partlyReported
			stillLikely &^= partlyLikely
		}
		reported, likely = stillReported, stillLikely
		if likely == 0 {
			return
		}
		reached = reached.extendedBy(link.Tokens)
	}
	if len(links) > 0 {
		w.recordExtent(reported, likely, reached)
	}
}

// recordPartial returns the owners that cache only the beginning of a chunk, and
// records their extents, which end in that chunk. A predicted chunk counts in whole,
// unless its prediction comes from a report that became uncertain.
func (w *walk) recordPartial(link Link, reported, likely, predicted ownerSet, reached Extent) (partlyReported, partlyLikely ownerSet) {
	w.sizes.visitShorter(link.Hash, link.Tokens, func(size cachedSize) {
		if size.owner < w.firstOwner || size.owner >= w.firstOwner+ownersPerPartition {
			return
		}
		bit := ownerSet(1) << (size.owner - w.firstOwner)
		partly := Extent{Chunks: reached.Chunks, Tokens: reached.extendedBy(size.tokens).Tokens}
		if reported&bit != 0 && !size.uncertain {
			partlyReported |= bit
			w.into.byOwner[size.owner].Reported = partly
		}
		if likely&bit != 0 && (size.uncertain || predicted&bit == 0) {
			partlyLikely |= bit
			w.into.byOwner[size.owner].Likely = partly
		}
	})
	return partlyReported, partlyLikely
}

// find returns the owners of a hash in a partition, which may be nil.
func find(p *partition, hash ChainHash) ownerSet {
	if p == nil {
		return 0
	}
	return p.shardOf(hash).find(hash)
}

// addOwners adds the owners of the first chunk to the result.
func (w *walk) addOwners(owners ownerSet) {
	for ; owners != 0; owners &= owners - 1 {
		w.into.add(w.lowestOwner(owners))
	}
}

// recordExtent records the extent that the given owners reached.
func (w *walk) recordExtent(reported, likely ownerSet, reached Extent) {
	for ; reported != 0; reported &= reported - 1 {
		w.into.byOwner[w.lowestOwner(reported)].Reported = reached
	}
	for ; likely != 0; likely &= likely - 1 {
		w.into.byOwner[w.lowestOwner(likely)].Likely = reached
	}
}

// lowestOwner returns the owner of the lowest bit of a set that is not empty.
func (w *walk) lowestOwner(owners ownerSet) Owner {
	return w.firstOwner + Owner(bits.TrailingZeros64(uint64(owners)))
}

// extendedBy returns the extent extended by one chunk. The sum of the tokens saturates
// instead of wrapping around.
func (e Extent) extendedBy(tokens uint32) Extent {
	sum := min(uint64(e.Tokens)+uint64(tokens), math.MaxUint32)
	return Extent{Chunks: e.Chunks + 1, Tokens: uint32(sum)}
}
