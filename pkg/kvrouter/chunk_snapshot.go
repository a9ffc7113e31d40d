package kvrouter

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// handleSnapshot replaces everything by what the owner reported to cache.
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

// adoptSnapshot records a snapshot of another router.
func (f *feed) adoptSnapshot(now time.Duration, position FeedPosition, chunks []ChunkChange) FeedStatus {
	f.mutex.Lock()
	defer f.unlock()
	if f.forgotten || (f.started && position.Incarnation != f.incarnation) {
		// A snapshot is no sign of a new start: it may be an old one.
		return Stale
	}
	if current, _ := f.checkUnorderedIncarnation(now, position.Incarnation); !current {
		return Stale
	}
	newer := !f.chunks.inUse || (f.eventsLost && !position.Lost && position.Next >= f.chunks.position)
	switch {
	case newer:
		f.replaceChunks(now, position.Next, chunks)
	case f.chunks.changedHashes != nil && position.Next >= f.chunks.followedFrom:
		f.addUnchanged(chunks)
	default:
		return Stale
	}
	f.eventsLost = position.Lost
	return Accepted
}

// replaceChunks replaces everything by what was cached at a sequence number.
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

// addUnchanged adds what was cached when the feed began. Of the chunks that have
// changed since, the feed has newer reports.
func (f *feed) addUnchanged(chunks []ChunkChange) {
	changedHashes := f.chunks.changedHashes
	f.chunks.changedHashes = nil
	for _, chunk := range chunks {
		if _, changed := changedHashes[chunk.IndexHash()]; !changed {
			f.applyChange(chunk)
		}
	}
	f.notifyChange()
}

// chunksSnapshot returns what the owner is recorded to cache.
func (f *feed) chunksSnapshot() (position FeedPosition, chunks []ChunkChange, found bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.forgotten || !f.chunks.inUse {
		return FeedPosition{}, nil, false
	}
	chunks = lo.Map(f.index.ReportedChunks(f.owner), func(link prefixindex.Link, _ int) ChunkChange {
		return ChunkChange{Hash: link.Hash, Tokens: link.Tokens}
	})
	return FeedPosition{Incarnation: f.incarnation, Next: f.chunks.position, Lost: f.eventsLost}, chunks, true
}
