package prefixindex

import (
	"slices"
	"time"
)

// Owner is a dense handle of a replica or store that caches chunks, assigned by
// the caller from 0 up. Memory grows with the largest handle in use.
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
	// PredictionTTL is how long a prediction lasts.
	PredictionTTL time.Duration
	// MaxPredicted bounds the predictions of all owners together. Beyond it, those
	// that would expire first are dropped.
	MaxPredicted int
	// MaxSized bounds the pairs of a chunk and an owner with a reported size, of
	// all owners together. Beyond it, SetTokens ignores pairs that have no entry.
	MaxSized int
	// Shards is the number of separately locked shards of each partition; rounded
	// up to a power of two.
	Shards int
}

// Index records which owners cache which chunks. It is safe for concurrent use; the
// package comment says which locks a lookup takes. Changes of one owner should come
// from one goroutine at a time, since the last change wins.
type Index struct {
	reported  *partitions
	predicted *predictions
	sizes     *chunkSizes
}

// Stats describes the size of an Index.
type Stats struct {
	// Reported counts pairs of a chunk and an owner that reported it.
	Reported int
	// Predicted counts pairs of a chunk and an owner that are predicted.
	Predicted int
	// Sized counts the pairs, reported or predicted, that were reported with a
	// size.
	Sized int
	// Bytes is the memory of the tables of reported chunks, in bytes.
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

// Store records that an owner reported the chunks, in any order. Only the hashes
// are recorded: a lookup counts the tokens that its prompt states.
func (x *Index) Store(owner Owner, links []Link) {
	for _, link := range links {
		x.sizes.clear(owner, link.Hash)
		x.reported.put(owner, link.Hash)
	}
}

// Remove records that an owner evicted the chunks. Predictions of them end too.
func (x *Index) Remove(owner Owner, hashes []ChainHash) {
	for _, hash := range hashes {
		x.reported.remove(owner, hash)
		x.sizes.clear(owner, hash)
	}
	x.predicted.remove(owner, hashes)
}

// Reset replaces all chunks of an owner, reported and predicted, by links.
func (x *Index) Reset(owner Owner, links []Link) {
	x.Drop(owner)
	x.Store(owner, links)
}

// Drop removes all chunks of an owner, reported and predicted.
func (x *Index) Drop(owner Owner) {
	x.reported.drop(owner)
	x.predicted.drop(owner)
	x.sizes.drop(owner)
}

// SetTokens records that an owner reported the number of tokens that it caches of
// a chunk, from the chunk's beginning; 0 removes the chunk. A lookup counts no more
// tokens of the chunk than this number. If the prompt states more tokens, the overlap
// of this owner ends in this chunk.
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

// Predict records that an owner probably caches the chunks, for the TTL of the
// options. A newer prediction of the same chunk renews it.
func (x *Index) Predict(now time.Duration, owner Owner, links []Link) {
	x.PredictFor(now, x.predicted.ttl, owner, links)
}

// PredictFor is Predict with the given TTL.
func (x *Index) PredictFor(now, ttl time.Duration, owner Owner, links []Link) {
	for _, link := range links {
		x.sizes.clearUncertain(owner, link.Hash)
	}
	x.predicted.add(now, ttl, owner, links)
}

// DemoteReported turns all chunks that an owner reported into predictions that expire
// after ttl. It is called when some reports of the owner were lost. A new report of a
// chunk makes that chunk reported again.
func (x *Index) DemoteReported(now, ttl time.Duration, owner Owner) {
	hashes := x.reported.hashesOf(owner)
	for _, hash := range hashes {
		x.sizes.setUncertain(owner, hash)
	}
	x.predicted.addHashes(now, ttl, owner, hashes)
	x.reported.drop(owner)
}

// ReportedChunks returns the chunks that an owner reported by SetTokens, in the
// order of their hashes. Chunks whose size is uncertain are left out.
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

// Expire removes predictions whose TTL has ended. Overlaps does so too, so that
// calling it is only needed to free memory while there are no lookups.
func (x *Index) Expire(now time.Duration) { x.predicted.expire(now) }

// Stats returns the current size.
func (x *Index) Stats() Stats {
	reported, bytes := x.reported.size()
	return Stats{Reported: reported, Predicted: x.predicted.count(), Sized: int(x.sizes.count.Load()), Bytes: bytes}
}
