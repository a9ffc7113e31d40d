package kvrouter

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// maxChangedHashes bounds chunkFeed.changedHashes.
const maxChangedHashes = 1 << 14

// chunkBatch is a batch of changes that is buffered until an earlier one has come.
type chunkBatch struct {
	position FeedPosition
	changes  []ChunkChange
}

// chunkFeed is the state of an owner that reports chunks by ID, in its present
// incarnation.
type chunkFeed struct {
	// inUse says that the owner does so.
	inUse bool
	// position is the sequence number of the newest change applied.
	position uint64
	// buffered are the batches beyond position, in order.
	buffered      []chunkBatch
	bufferedSince time.Duration
	// followedFrom is the sequence number after which the changes were followed.
	followedFrom uint64
	// changedHashes are the chunks that changed since followedFrom. It is nil when
	// nothing is missing from before, or when too many changed.
	changedHashes map[prefixindex.ChainHash]struct{}
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

// buffer inserts a batch in order.
func (c *chunkFeed) buffer(now time.Duration, batch chunkBatch) {
	if len(c.buffered) == 0 {
		c.bufferedSince = now
	}
	position, _ := slices.BinarySearchFunc(c.buffered, batch, func(buffered, target chunkBatch) int {
		return int(int64(buffered.position.From) - int64(target.position.From))
	})
	c.buffered = slices.Insert(c.buffered, position, batch)
}

// handleBatch applies a batch of changes.
func (f *feed) handleBatch(now time.Duration, batch FeedPosition, changes []ChunkChange) (status FeedStatus, restarted bool) {
	f.mutex.Lock()
	defer f.unlock()
	current, restarted := f.checkUnorderedIncarnation(now, batch.Incarnation)
	if !current {
		return Stale, false
	}
	f.reportsEvents = true
	if !f.chunks.inUse {
		f.chunks.inUse = true
		f.startChunkFeed(batch.From)
	}
	status = f.applyBatchInOrder(now, chunkBatch{position: batch, changes: changes})
	f.giveUpOnMissingBatch(now)
	return status, restarted
}

// startChunkFeed starts to follow the changes after a sequence number. Unless it is
// the owner's first, what the owner cached before is missing.
func (f *feed) startChunkFeed(from uint64) {
	f.chunks.position = from
	if from == 0 {
		return
	}
	f.eventsLost = true
	f.chunks.followedFrom = from
	f.chunks.changedHashes = make(map[prefixindex.ChainHash]struct{})
}

// applyBatchInOrder applies a batch, or buffers it until the one before it has come.
func (f *feed) applyBatchInOrder(now time.Duration, batch chunkBatch) FeedStatus {
	if batch.position.Next <= f.chunks.position && batch.position.From < batch.position.Next {
		return Duplicate
	}
	if batch.position.From > f.chunks.position && !batch.position.Lost {
		f.chunks.buffer(now, batch)
		return Accepted
	}
	f.applyBatch(now, batch)
	f.applyBufferedBatches(now)
	if batch.position.Lost {
		return Gap
	}
	return Accepted
}

// applyBatch applies the changes of a batch that were not applied yet.
func (f *feed) applyBatch(now time.Duration, batch chunkBatch) {
	if batch.position.Lost {
		f.demoteReported(now)
	}
	for _, change := range batch.changes {
		if change.Sequence == 0 || change.Sequence > f.chunks.position {
			f.applyChange(change)
		}
	}
	f.chunks.position = max(f.chunks.position, batch.position.Next)
	f.notifyChange()
}

func (f *feed) applyChange(change ChunkChange) {
	hash := change.IndexHash()
	f.chunks.recordChanged(hash)
	f.index.SetTokens(f.owner, hash, change.Tokens)
	if change.Removed {
		f.pending.Remove(f.owner, []prefixindex.ChainHash{hash})
	}
}

// demoteReported turns everything reported into predictions, since changes were lost.
func (f *feed) demoteReported(now time.Duration) {
	f.index.DemoteReported(now, f.options.UncertainTTL, f.owner)
	f.eventsLost = true
	f.chunks.changedHashes = nil
}

// applyBufferedBatches applies the buffered batches whose turn has come.
func (f *feed) applyBufferedBatches(now time.Duration) {
	for len(f.chunks.buffered) > 0 && f.chunks.buffered[0].position.From <= f.chunks.position {
		next := f.chunks.buffered[0]
		f.chunks.buffered = slices.Delete(f.chunks.buffered, 0, 1)
		f.chunks.bufferedSince = now
		f.applyBatch(now, next)
	}
}

// giveUpOnMissingBatch gives up on a batch that has been missing for too long.
func (f *feed) giveUpOnMissingBatch(now time.Duration) {
	if len(f.chunks.buffered) == 0 {
		return
	}
	tooMany := len(f.chunks.buffered) > f.options.ReorderWindow
	tooLong := now-f.chunks.bufferedSince >= f.options.ReorderWait
	if !tooMany && !tooLong {
		return
	}
	f.demoteReported(now)
	for _, buffered := range f.chunks.buffered {
		f.applyBatch(now, buffered)
	}
	f.chunks.buffered = nil
}

func (f *feed) chunksPosition() (incarnation, sequence uint64, present bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.incarnation, f.chunks.position, f.chunks.inUse
}

func (f *feed) chunksComplete() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.chunks.inUse && !f.eventsLost
}
