package kvrouter

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// maxChangedHashes bounds the parts of one holder of which it is remembered that they
// changed since the feed began.
const maxChangedHashes = 1 << 14

// chunkBatch is a batch that waits for an earlier one.
type chunkBatch struct {
	position FeedPosition
	changes  []ChunkChange
}

// chunkFeed is the state of a holder that reports parts by their own IDs.
type chunkFeed struct {
	// inUse tells that the holder does so.
	inUse bool
	// position is the sequence number of the newest change taken in.
	position uint64
	// buffered are batches beyond position, in order.
	buffered      []chunkBatch
	bufferedSince time.Duration
	// followedFrom is the sequence number after which the changes were followed.
	followedFrom uint64
	// changedHashes are the parts that changed since begun. It is nil once nothing is
	// missing from before, or if too many changed to be told apart.
	changedHashes map[prefixindex.ChainHash]struct{}
}

// handleBatch brings in a batch of changes.
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

// startChunkFeed begins to follow the changes after a sequence number.
func (f *feed) startChunkFeed(from uint64) {
	f.chunks.position = from
	if from == 0 {
		return
	}
	f.eventsLost = true
	f.chunks.followedFrom = from
	f.chunks.changedHashes = make(map[prefixindex.ChainHash]struct{})
}

// checkUnorderedIncarnation is enter for holders whose incarnations have no order: one that is
// neither the present one nor one of the last few is a new start.
func (f *feed) checkUnorderedIncarnation(now time.Duration, incarnation uint64) (current, restarted bool) {
	if f.forgotten || slices.Contains(f.retired, incarnation) {
		return false, false
	}
	if f.started && incarnation != f.incarnation {
		f.retire(f.incarnation)
		f.dropAll()
		f.started = false
		restarted = true
	}
	if !f.started {
		version := f.weightVersion
		f.started = true
		f.startIncarnation(incarnation)
		f.weightVersion = version
	}
	f.lastHeardAt = max(f.lastHeardAt, now)
	return true, restarted
}

// applyBatchInOrder applies a batch, or lets it wait for the one before it.
func (f *feed) applyBatchInOrder(now time.Duration, batch chunkBatch) FeedStatus {
	if batch.position.Next <= f.chunks.position && batch.position.From < batch.position.Next {
		return Duplicate
	}
	if batch.position.From > f.chunks.position && !batch.position.Lost {
		f.bufferBatch(now, batch)
		return Accepted
	}
	f.applyBatch(now, batch)
	f.applyBufferedBatches(now)
	if batch.position.Lost {
		return Gap
	}
	return Accepted
}

func (f *feed) bufferBatch(now time.Duration, batch chunkBatch) {
	if len(f.chunks.buffered) == 0 {
		f.chunks.bufferedSince = now
	}
	at, _ := slices.BinarySearchFunc(f.chunks.buffered, batch, func(buffered, target chunkBatch) int {
		return int(int64(buffered.position.From) - int64(target.position.From))
	})
	f.chunks.buffered = slices.Insert(f.chunks.buffered, at, batch)
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
	f.recordChanged(hash)
	f.index.SetTokens(f.owner, hash, change.Tokens)
	if change.Removed {
		f.pending.Remove(f.owner, []prefixindex.ChainHash{hash})
	}
}

// recordChanged notes that a part has changed since the feed began, up to a bound.
func (f *feed) recordChanged(hash prefixindex.ChainHash) {
	if f.chunks.changedHashes == nil {
		return
	}
	f.chunks.changedHashes[hash] = struct{}{}
	if len(f.chunks.changedHashes) > maxChangedHashes {
		f.chunks.changedHashes = nil
	}
}

// demoteReported turns everything reported into guesses.
func (f *feed) demoteReported(now time.Duration) {
	f.index.DemoteReported(now, f.options.UncertainTTL, f.owner)
	f.eventsLost = true
	f.chunks.changedHashes = nil
}

// applyBufferedBatches applies the batches whose turn has come.
func (f *feed) applyBufferedBatches(now time.Duration) {
	for len(f.chunks.buffered) > 0 && f.chunks.buffered[0].position.From <= f.chunks.position {
		next := f.chunks.buffered[0]
		f.chunks.buffered = slices.Delete(f.chunks.buffered, 0, 1)
		f.chunks.bufferedSince = now
		f.applyBatch(now, next)
	}
}

// giveUpOnMissingBatch stops waiting for a batch that has been missing for too long.
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

// handleSnapshot replaces everything by what the holder listed.
func (f *feed) handleSnapshot(now time.Duration, incarnation, sequence uint64, chunks []ChunkChange) (status FeedStatus, restarted bool) {
	f.mutex.Lock()
	defer f.unlock()
	current, restarted := f.checkUnorderedIncarnation(now, incarnation)
	if !current {
		return Stale, false
	}
	if f.chunks.inUse && sequence < f.chunks.position {
		return Stale, restarted
	}
	f.replaceChunks(now, sequence, chunks)
	return Accepted, restarted
}

// replaceChunks replaces everything by what was kept at a sequence number.
func (f *feed) replaceChunks(now time.Duration, sequence uint64, chunks []ChunkChange) {
	f.reportsEvents = true
	f.chunks.inUse = true
	f.chunks.position = sequence
	f.chunks.changedHashes = nil
	f.eventsLost = false
	f.index.Drop(f.owner)
	for _, chunk := range chunks {
		f.applyChange(chunk)
	}
	f.chunks.buffered = slices.DeleteFunc(f.chunks.buffered, func(buffered chunkBatch) bool {
		return buffered.position.Next <= sequence
	})
	f.applyBufferedBatches(now)
	f.notifyChange()
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
