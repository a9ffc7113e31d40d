package cachefeed

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// maxChangedHashes bounds chunkFeed.changedHashes.
const maxChangedHashes = 1 << 14

// batch is a batch of changes of chunks by ID.
type batch struct {
	position Position
	changes  []ChunkChange
}

// chunkFeed applies the batches of an owner's current incarnation in order, each change
// once.
type chunkFeed struct {
	record  *record
	options *Options
	// inUse is set when the owner reports chunks by ID.
	inUse bool
	// appliedThrough is the sequence number up to which changes are applied.
	appliedThrough uint64
	// buffered are the batches that begin after appliedThrough, in order.
	// bufferedSince is when the wait for the missing batch before them began.
	buffered      []batch
	bufferedSince time.Duration
	// startedAfter is the sequence number after which the feed began, if the owner had
	// reported changes before: changes up to that number are missing until a snapshot
	// fills the gap.
	startedAfter uint64
	// changedHashes are the chunks that changed since startedAfter: a snapshot that fills
	// the gap must not overwrite their newer reports. It is nil if there is no gap, or if
	// no snapshot can fill it because changes were lost or too many chunks changed.
	changedHashes map[prefixindex.ChainHash]struct{}
}

func newChunkFeed(record *record, options *Options) chunkFeed {
	return chunkFeed{record: record, options: options}
}

// start begins the feed with the changes after a sequence number. Complete is true if
// that number is 0; otherwise the chunks that the owner cached before are missing.
func (c *chunkFeed) start(from uint64) (complete bool) {
	c.inUse = true
	c.appliedThrough = from
	if from == 0 {
		return true
	}
	c.startedAfter = from
	c.changedHashes = make(map[prefixindex.ChainHash]struct{})
	return false
}

// receive applies a batch, or buffers it until the one before it has arrived. It returns
// Gap if the batch states that changes before it are lost.
func (c *chunkFeed) receive(now time.Duration, received batch) Status {
	position := received.position
	if position.Next <= c.appliedThrough && position.From < position.Next {
		return Duplicate
	}
	if position.From > c.appliedThrough && !position.Lost {
		c.buffer(now, received)
		return Accepted
	}
	c.applyBatch(now, received)
	c.applyBuffered(now)
	if position.Lost {
		return Gap
	}
	return Accepted
}

// buffer inserts a batch into the buffered ones, which are in order of From.
func (c *chunkFeed) buffer(now time.Duration, received batch) {
	if len(c.buffered) == 0 {
		c.bufferedSince = now
	}
	index, _ := slices.BinarySearchFunc(c.buffered, received, func(buffered, target batch) int {
		return int(int64(buffered.position.From) - int64(target.position.From))
	})
	c.buffered = slices.Insert(c.buffered, index, received)
}

// applyBatch applies the changes of a batch that were not applied yet.
func (c *chunkFeed) applyBatch(now time.Duration, received batch) {
	if received.position.Lost {
		c.demoteReported(now)
	}
	for _, change := range received.changes {
		if change.Sequence == 0 || change.Sequence > c.appliedThrough {
			c.applyChange(change)
		}
	}
	c.appliedThrough = max(c.appliedThrough, received.position.Next)
	c.record.notifyChange()
}

func (c *chunkFeed) applyChange(change ChunkChange) {
	hash := change.IndexHash()
	c.recordChanged(hash)
	c.record.setTokens(hash, change.Tokens, change.Removed)
}

// recordChanged records that a chunk has changed since the feed began.
func (c *chunkFeed) recordChanged(hash prefixindex.ChainHash) {
	if c.changedHashes == nil {
		return
	}
	c.changedHashes[hash] = struct{}{}
	if len(c.changedHashes) > maxChangedHashes {
		c.changedHashes = nil
	}
}

// demoteReported turns all reported chunks into predictions after a loss of changes.
func (c *chunkFeed) demoteReported(now time.Duration) {
	c.record.demoteReported(now, c.options.UncertainTTL)
	c.changedHashes = nil
}

// applyBuffered applies the buffered batches up to the next gap.
func (c *chunkFeed) applyBuffered(now time.Duration) {
	for len(c.buffered) > 0 && c.buffered[0].position.From <= c.appliedThrough {
		next := c.buffered[0]
		c.buffered = slices.Delete(c.buffered, 0, 1)
		c.bufferedSince = now
		c.applyBatch(now, next)
	}
}

// giveUpOnMissing stops waiting for a missing batch once the reorder window or wait is
// exceeded, and applies the buffered batches. It reports whether a batch was lost.
func (c *chunkFeed) giveUpOnMissing(now time.Duration) (lost bool) {
	if len(c.buffered) == 0 {
		return false
	}
	tooMany := len(c.buffered) > c.options.ReorderWindow
	tooLong := now-c.bufferedSince >= c.options.ReorderWait
	if !tooMany && !tooLong {
		return false
	}
	c.demoteReported(now)
	for _, buffered := range c.buffered {
		c.applyBatch(now, buffered)
	}
	c.buffered = nil
	return true
}

// replace replaces all recorded chunks by those that the owner cached at a sequence
// number.
func (c *chunkFeed) replace(now time.Duration, sequence uint64, chunks []ChunkChange) {
	c.inUse = true
	c.appliedThrough = sequence
	c.changedHashes = nil
	c.record.dropCached()
	for _, chunk := range chunks {
		c.applyChange(chunk)
	}
	c.buffered = slices.DeleteFunc(c.buffered, func(buffered batch) bool {
		return buffered.position.Next <= sequence
	})
	c.applyBuffered(now)
	c.record.notifyChange()
}

// fillsGap reports whether a snapshot as of a sequence number fills the gap before
// startedAfter.
func (c *chunkFeed) fillsGap(sequence uint64) bool {
	return c.changedHashes != nil && sequence >= c.startedAfter
}

// addUnchanged adds the chunks of a snapshot that fills the gap before startedAfter,
// except those that have changed since: the feed has newer reports of them.
func (c *chunkFeed) addUnchanged(chunks []ChunkChange) {
	changedHashes := c.changedHashes
	c.changedHashes = nil
	for _, chunk := range chunks {
		if _, changed := changedHashes[chunk.IndexHash()]; !changed {
			c.applyChange(chunk)
		}
	}
	c.record.notifyChange()
}
