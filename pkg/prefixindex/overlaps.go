package prefixindex

import (
	"math"
	"math/bits"
	"time"
)

// Extent is how far a holder keeps a prompt from its beginning without a gap.
type Extent struct {
	// Parts counts the leading parts.
	Parts int
	// Tokens is the sum of their tokens, and of what is kept of the next part
	// if its end was evicted.
	Tokens uint32
}

// Overlap is what one holder keeps of a prompt.
type Overlap struct {
	// Reported counts leading parts that the holder reported.
	Reported Extent
	// Likely counts leading parts that the holder reported or that are
	// predicted. It is never shorter than Reported.
	Likely Extent
}

// Overlaps is the answer to a lookup. Its memory is reused from one lookup to
// the next; the zero value is ready for use. It is not safe for concurrent use.
type Overlaps struct {
	holders  []Holder
	byHolder []Overlap
}

// Of returns the overlap of a holder; zero when it keeps nothing.
func (o *Overlaps) Of(holder Holder) Overlap {
	if int(holder) >= len(o.byHolder) {
		return Overlap{}
	}
	return o.byHolder[holder]
}

// Holders returns, in ascending order, the holders that keep at least the
// first part. The slice is valid until the next lookup.
func (o *Overlaps) Holders() []Holder { return o.holders }

// Overlaps finds for every holder how much of a prompt it keeps. A part counts
// only when the holder keeps all parts before it.
func (x *Index) Overlaps(now time.Duration, links []Link, into *Overlaps) {
	into.clear()
	x.predicted.expire(now)
	reported := x.reported.all()
	var predicted []*partition
	if !x.predicted.empty() {
		predicted = x.predicted.parts.all()
	}
	for group := range max(len(reported), len(predicted)) {
		walk := walk{into: into, first: Holder(group * holdersPerGroup)}
		if x.sizes.count.Load() > 0 {
			walk.sizes = x.sizes
		}
		if group < len(reported) {
			walk.reported = reported[group]
		}
		if group < len(predicted) {
			walk.predicted = predicted[group]
		}
		walk.run(links)
	}
}

func (o *Overlaps) clear() {
	for _, holder := range o.holders {
		o.byHolder[holder] = Overlap{}
	}
	o.holders = o.holders[:0]
}

// add makes room for the overlap of a holder that keeps the first part.
func (o *Overlaps) add(holder Holder) {
	o.holders = append(o.holders, holder)
	for int(holder) >= len(o.byHolder) {
		o.byHolder = append(o.byHolder, Overlap{})
	}
}

// walk goes down a prompt with the holders of one group. The sets of holders
// that keep all parts so far only ever get smaller, so that each holder is
// looked at once: where it drops out.
type walk struct {
	into      *Overlaps
	first     Holder
	reported  *partition
	predicted *partition
	// sizes is nil when all holders keep whole parts.
	sizes *sizes
	// cutReported and cutLikely are the holders that keep only the beginning of
	// the part at hand.
	cutReported, cutLikely holderSet
}

func (w *walk) run(links []Link) {
	reported, likely := ^holderSet(0), ^holderSet(0)
	reached := Extent{}
	for position, link := range links {
		kept := find(w.reported, link.Hash)
		predicted := find(w.predicted, link.Hash)
		stillReported := reported & kept
		stillLikely := likely & (kept | predicted)
		if position == 0 {
			w.begin(stillLikely)
		} else {
			w.end(reported&^stillReported, likely&^stillLikely, reached)
		}
		if w.sizes != nil && stillLikely != 0 {
			w.cut(link, stillReported, stillLikely, predicted, reached)
			stillReported &^= w.cutReported
			stillLikely &^= w.cutLikely
		}
		reported, likely = stillReported, stillLikely
		if likely == 0 {
			return
		}
		reached = reached.with(link.Tokens)
	}
	if len(links) > 0 {
		w.end(reported, likely, reached)
	}
}

// cut finds the holders that keep only the beginning of a part, and records how
// far they come. A prediction stands for the whole part, unless it is a report
// that came into doubt.
func (w *walk) cut(link Link, reported, likely, predicted holderSet, reached Extent) {
	w.cutReported, w.cutLikely = 0, 0
	w.sizes.shorter(link.Hash, link.Tokens, func(kept keptSize) {
		if kept.holder < w.first || kept.holder >= w.first+holdersPerGroup {
			return
		}
		bit := holderSet(1) << (kept.holder - w.first)
		partly := Extent{Parts: reached.Parts, Tokens: reached.with(kept.tokens).Tokens}
		if reported&bit != 0 && !kept.doubted {
			w.cutReported |= bit
			w.into.byHolder[kept.holder].Reported = partly
		}
		if likely&bit != 0 && (kept.doubted || predicted&bit == 0) {
			w.cutLikely |= bit
			w.into.byHolder[kept.holder].Likely = partly
		}
	})
}

// find returns the holders of a hash in a partition, which may be nil.
func find(p *partition, hash ChainHash) holderSet {
	if p == nil {
		return 0
	}
	return p.of(hash).find(hash)
}

// begin adds the holders of the first part.
func (w *walk) begin(holders holderSet) {
	for ; holders != 0; holders &= holders - 1 {
		w.into.add(w.holder(holders))
	}
}

// end records how far the holders that drop out have come.
func (w *walk) end(reported, likely holderSet, reached Extent) {
	for ; reported != 0; reported &= reported - 1 {
		w.into.byHolder[w.holder(reported)].Reported = reached
	}
	for ; likely != 0; likely &= likely - 1 {
		w.into.byHolder[w.holder(likely)].Likely = reached
	}
}

// holder returns the first holder of a set that is not empty.
func (w *walk) holder(holders holderSet) Holder {
	return w.first + Holder(bits.TrailingZeros64(uint64(holders)))
}

// with returns the extent that is longer by one part. Its tokens stay at the
// largest number instead of wrapping around.
func (e Extent) with(tokens uint32) Extent {
	sum := min(uint64(e.Tokens)+uint64(tokens), math.MaxUint32)
	return Extent{Parts: e.Parts + 1, Tokens: uint32(sum)}
}
