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

// chunkFeed applies the batches of an owner's present incarnation in order, each change
// once.
type chunkFeed struct {
	record  *record
	options *Options
	// inUse says that the owner reports chunks by ID.
	inUse bool
	// appliedThrough is the sequence number up to which changes are applied.
	appliedThrough uint64
	// buffered are the batches that begin after appliedThrough, in order.
	buffered      []batch
	bufferedSince time.Duration
	// startedAfter is the sequence number after which the feed began, if it began in
	// the middle: changes up to it are missing until a snapshot fills the gap.
	startedAfter uint64
	// changedHashes are the chunks that changed since startedAfter, of which a snapshot
	// must not overwrite the newer reports. It is nil when no snapshot can fill the gap
	// before startedAfter: there is none, changes were lost, or too many chunks changed.
	changedHashes map[prefixindex.ChainHash]struct{}
}

func newChunkFeed(record *record, options *Options) chunkFeed {
	return chunkFeed{record: record, options: options}
}

// start starts to follow the changes after a sequence number. Unless it is 0, what the
// owner cached before is missing; complete reports that nothing is.
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

// receive applies a batch, or buffers it until the one before it has come. Gap means
// that the batch said that changes are lost.
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

// buffer inserts a batch in order.
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

// demoteReported turns everything reported into predictions, since changes were lost.
func (c *chunkFeed) demoteReported(now time.Duration) {
	c.record.demoteReported(now, c.options.UncertainTTL)
	c.changedHashes = nil
}

// applyBuffered applies the buffered batches whose turn has come.
func (c *chunkFeed) applyBuffered(now time.Duration) {
	for len(c.buffered) > 0 && c.buffered[0].position.From <= c.appliedThrough {
		next := c.buffered[0]
		c.buffered = slices.Delete(c.buffered, 0, 1)
		c.bufferedSince = now
		c.applyBatch(now, next)
	}
}

// giveUpOnMissing gives up on a batch that has been missing for too long, and reports
// whether one is lost.
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

// replace replaces everything by what was cached at a sequence number.
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

// fillsGap reports whether what was cached at a sequence number fills the gap before
// the changes that were followed.
func (c *chunkFeed) fillsGap(sequence uint64) bool {
	return c.changedHashes != nil && sequence >= c.startedAfter
}

// addUnchanged adds what was cached when the feed began. Of the chunks that have
// changed since, the feed has newer reports.
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
