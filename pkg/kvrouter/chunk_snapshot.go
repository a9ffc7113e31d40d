package kvrouter

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// ChunksSnapshot returns all that a replica or store is known to keep, as of the
// change Feed.Next. Feed.Lost tells that it may keep more. Known is false for a
// holder that has reported nothing.
func (r *Router) ChunksSnapshot(address string) (position FeedPosition, chunks []ChunkChange, found bool) {
	r.mutex.Lock()
	state, present := r.replicas[address]
	r.mutex.Unlock()
	if !present {
		return FeedPosition{}, nil, false
	}
	return state.feed.chunksSnapshot()
}

// AdoptChunks takes in a snapshot that another router has made, see
// ChunksSnapshot. The changes that this router has followed itself are newer than
// the snapshot and stay. A snapshot that tells nothing new, or that leaves a gap
// before those changes, is Stale and changes nothing.
func (r *Router) AdoptChunks(now time.Duration, address string, position FeedPosition, chunks []ChunkChange) FeedStatus {
	return r.state(now, address).feed.adoptSnapshot(now, position, chunks)
}

// chunksSnapshot returns what the holder is known to keep.
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

// adoptSnapshot takes in a snapshot of another router.
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

// addUnchanged adds what was kept when the feed began. The parts that have changed
// since are known better.
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
