package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// FeedPosition is the position of a batch of chunk changes among all that a replica
// or store has reported.
type FeedPosition struct {
	// Incarnation changes with each start of the owner. Incarnations have no order.
	Incarnation uint64
	// From is the sequence number after which the batch begins, and Next the last
	// one that it covers, after which the next batch begins.
	From, Next uint64
	// Lost says that changes before this batch are gone for good.
	Lost bool
}

// ChunkChange is what an owner reported of one chunk, by the chunk's ID.
type ChunkChange struct {
	// Sequence is the number of the change; 0 when there is none.
	Sequence uint64
	// Hash is that of prefixindex.HashByID; with 0 it is derived from Model, Salt
	// and ID.
	Hash  prefixindex.ChainHash
	Salt  string
	Model string
	ID    string
	// Tokens is how many tokens of the chunk the owner caches now, from its
	// beginning. It may be less than the chunk, and more than 0 for a removal.
	Tokens  uint32
	Removed bool
}

// IndexHash returns the hash of the chunk in the index.
func (c ChunkChange) IndexHash() prefixindex.ChainHash {
	if c.Hash != 0 {
		return c.Hash
	}
	return prefixindex.HashByID(c.Model, c.Salt, c.ID)
}

// ChunksReported records a batch of changes that a replica or store reported of
// chunks by their IDs. Batches may come doubled, late and out of order. Where some
// are lost, everything that the owner reported before becomes a prediction, which
// ends after the UncertainTTL unless it is reported again.
func (r *Router) ChunksReported(now time.Duration, address string, batch FeedPosition, changes []ChunkChange) FeedStatus {
	state := r.state(now, address)
	status, restarted := state.feed.handleBatch(now, batch, changes)
	if restarted {
		r.handleRestart(now, state)
	}
	return status
}

// ChunksReplaced records all that a replica or store caches after the change with
// the given sequence number. It replaces everything that was recorded.
func (r *Router) ChunksReplaced(now time.Duration, address string, incarnation, sequence uint64, chunks []ChunkChange) FeedStatus {
	state := r.state(now, address)
	status, restarted := state.feed.handleSnapshot(now, incarnation, sequence, chunks)
	if restarted {
		r.handleRestart(now, state)
	}
	return status
}

// ChunksPosition returns the incarnation of an owner and the sequence number of its
// newest change that was recorded. Found is false when there was none.
func (r *Router) ChunksPosition(address string) (incarnation, sequence uint64, found bool) {
	state := r.existingState(address)
	if state == nil {
		return 0, 0, false
	}
	return state.feed.chunksPosition()
}

// ChunksComplete reports whether all that an owner caches is recorded: its changes
// were followed from its start or from a snapshot on, without a gap.
func (r *Router) ChunksComplete(address string) bool {
	state := r.existingState(address)
	return state != nil && state.feed.chunksComplete()
}

// ChunksSnapshot returns all that a replica or store is recorded to cache, as of the
// change FeedPosition.Next. FeedPosition.Lost says that it may cache more. Found is
// false for an owner that has reported nothing.
func (r *Router) ChunksSnapshot(address string) (position FeedPosition, chunks []ChunkChange, found bool) {
	state := r.existingState(address)
	if state == nil {
		return FeedPosition{}, nil, false
	}
	return state.feed.chunksSnapshot()
}

// AdoptChunks records a snapshot that another router has made by ChunksSnapshot.
// The changes that this router has followed itself are newer than the snapshot and
// stay. A snapshot without anything new, or that leaves a gap before those changes,
// is Stale and changes nothing.
func (r *Router) AdoptChunks(now time.Duration, address string, position FeedPosition, chunks []ChunkChange) FeedStatus {
	return r.state(now, address).feed.adoptSnapshot(now, position, chunks)
}

// ObserveDispatch records that another router has sent a request to a replica, which
// therefore probably caches the chunks soon. A request that saves chunks to a store
// is to be observed for the store as well.
func (r *Router) ObserveDispatch(now time.Duration, address, model, cacheSalt string, naming Naming, chunks []prefixindex.Chunk) {
	r.ObserveDispatchLinks(now, address, naming.Links(model, cacheSalt, chunks))
}

// ObserveDispatchLinks is ObserveDispatch for a prompt whose links are available.
func (r *Router) ObserveDispatchLinks(now time.Duration, address string, links []prefixindex.Link) {
	state := r.state(now, address)
	view := state.feed.view(now)
	switch {
	case r.options.Disabled.PendingChunks:
	case view.reportsEvents:
		state.feed.addPending(now, links)
	default:
		state.feed.predict(now, view.epoch, links)
	}
}
