package prefixindex

import "time"

// Owner is a dense handle of a replica or store, assigned by the caller from
// 0 up. Memory grows with the largest handle in use.
type Owner uint32

// Defaults of Options.
const (
	DefaultPredictionTTL = 120 * time.Second
	DefaultMaxPredicted  = 1 << 18
	DefaultMaxSized      = 1 << 20
	DefaultShards        = 256
)

// Options configure an Index. Zero values mean the defaults.
type Options struct {
	// PredictionTTL is how long a predicted part counts.
	PredictionTTL time.Duration
	// MaxPredicted bounds the predicted parts of all holders together. Past
	// it, those that would expire first are dropped.
	MaxPredicted int
	// MaxSized bounds the pairs of a part and a holder with a reported size, of
	// all holders together. Past it, further parts are not taken in.
	MaxSized int
	// Shards is the number of parts that are locked apart; rounded up to a
	// power of two.
	Shards int
}

// Index remembers which holders keep which parts. It is safe for concurrent
// use: lookups take no lock unless a writer changes the same shard at that
// moment. Changes of one holder should come from one writer at a time, since
// the last one wins.
type Index struct {
	reported  *partitions
	predicted *predictions
	sizes     *chunkSizes
}

// Stats describes the size of an Index.
type Stats struct {
	// Reported counts pairs of a part and a holder that reported to keep it.
	Reported int
	// Predicted counts pairs of a part and a holder that are predicted.
	Predicted int
	// Sized counts those of them, and of the predicted ones, that were reported
	// with a size.
	Sized int
	// Bytes is the memory of the tables of reported parts.
	Bytes int
}

// New returns an empty Index.
func New(options Options) *Index {
	if options.PredictionTTL <= 0 {
		options.PredictionTTL = DefaultPredictionTTL
	}
	if options.MaxPredicted <= 0 {
		options.MaxPredicted = DefaultMaxPredicted
	}
	if options.MaxSized <= 0 {
		options.MaxSized = DefaultMaxSized
	}
	if options.Shards <= 0 {
		options.Shards = DefaultShards
	}
	sizes := newChunkSizes(options.MaxSized)
	return &Index{
		reported:  newPartitions(options.Shards),
		predicted: newPredictions(options, sizes),
		sizes:     sizes,
	}
}

// Store records that holder reported to keep the parts, in any order. Only the
// hashes are kept: a lookup counts the tokens that its prompt states.
func (x *Index) Store(owner Owner, links []Link) {
	for _, link := range links {
		x.sizes.clear(owner, link.Hash, false)
		x.reported.put(owner, link.Hash)
	}
}

// Remove records that holder dropped the parts. Predictions of them go too.
func (x *Index) Remove(owner Owner, hashes []ChainHash) {
	for _, hash := range hashes {
		x.reported.remove(owner, hash)
		x.sizes.clear(owner, hash, false)
	}
	x.predicted.remove(owner, hashes)
}

// Reset replaces all that holder keeps, reported and predicted, by links.
func (x *Index) Reset(owner Owner, links []Link) {
	x.Drop(owner)
	x.Store(owner, links)
}

// Drop forgets all that holder keeps, reported and predicted.
func (x *Index) Drop(owner Owner) {
	x.reported.drop(owner)
	x.predicted.drop(owner)
	x.sizes.drop(owner)
}

// Predict records for the TTL of the options that holder probably keeps the
// parts. A newer prediction of the same part renews it.
func (x *Index) Predict(now time.Duration, owner Owner, links []Link) {
	x.PredictFor(now, x.predicted.ttl, owner, links)
}

// PredictFor is Predict with a TTL of its own.
func (x *Index) PredictFor(now, ttl time.Duration, owner Owner, links []Link) {
	for _, link := range links {
		x.sizes.clear(owner, link.Hash, true)
	}
	x.predicted.add(now, ttl, owner, links)
}

// Expire forgets predictions whose time is over. Overlaps does so too, so that
// calling it is only needed to free memory while there are no lookups.
func (x *Index) Expire(now time.Duration) { x.predicted.expire(now) }

// Stats returns the present size.
func (x *Index) Stats() Stats {
	reported, bytes := x.reported.size()
	return Stats{Reported: reported, Predicted: x.predicted.count(), Sized: int(x.sizes.count.Load()), Bytes: bytes}
}
