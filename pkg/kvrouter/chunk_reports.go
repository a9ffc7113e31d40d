package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// FeedPosition tells where a batch of part changes stands among all that a replica or
// store has reported.
type FeedPosition struct {
	// Incarnation changes with each start of the holder. Incarnations have
	// no order.
	Incarnation uint64
	// From is the sequence number after which the batch begins, and Next the
	// last one that it covers: what to ask for changes after.
	From, Next uint64
	// Lost tells that changes before this batch are gone for good.
	Lost bool
}

// ChunkChange is what a holder reported of one part.
type ChunkChange struct {
	// Sequence is the number of the change; 0 when it is not known.
	Sequence uint64
	// Hash is that of prefixindex.HashByID; 0 to make it of the three texts.
	Hash  prefixindex.ChainHash
	Salt  string
	Model string
	ID    string
	// Tokens is what the holder keeps of the part now, from its beginning. It
	// may be less than the part, and more than 0 for a removal.
	Tokens  uint32
	Removed bool
}

// IndexHash returns the name of the part in the index.
func (c ChunkChange) IndexHash() prefixindex.ChainHash {
	if c.Hash != 0 {
		return c.Hash
	}
	return prefixindex.HashByID(c.Model, c.Salt, c.ID)
}

// ChunksReported takes in a batch of changes that a replica or store reported of
// parts by their own IDs. Batches may come doubled, late and out of order. Where
// some are lost, everything that the holder reported before becomes a guess,
// which ends after the UncertainTTL unless it is reported again.
func (r *Router) ChunksReported(now time.Duration, address string, batch FeedPosition, changes []ChunkChange) FeedStatus {
	state := r.state(now, address)
	status, restarted := state.feed.handleBatch(now, batch, changes)
	if restarted {
		r.handleRestart(now, state)
	}
	return status
}

// ChunksReplaced takes in all that a replica or store keeps after the change with
// the given sequence number. It replaces everything that was known.
func (r *Router) ChunksReplaced(now time.Duration, address string, incarnation, sequence uint64, chunks []ChunkChange) FeedStatus {
	state := r.state(now, address)
	status, restarted := state.feed.handleSnapshot(now, incarnation, sequence, chunks)
	if restarted {
		r.handleRestart(now, state)
	}
	return status
}

// ChunksPosition returns the incarnation and the sequence number of the newest
// change of a holder that was taken in. Known is false when there was none.
func (r *Router) ChunksPosition(address string) (incarnation, sequence uint64, found bool) {
	r.mutex.Lock()
	state, present := r.replicas[address]
	r.mutex.Unlock()
	if !present {
		return 0, 0, false
	}
	return state.feed.chunksPosition()
}

// ChunksComplete tells whether all that a holder keeps is known: it was followed from
// its beginning or from a list on, without a gap.
func (r *Router) ChunksComplete(address string) bool {
	r.mutex.Lock()
	state, present := r.replicas[address]
	r.mutex.Unlock()
	return present && state.feed.chunksComplete()
}

// ObserveDispatch takes in that another router has sent a request to a replica, which
// therefore probably keeps the parts soon. A request that saves parts to a store
// is observed for the store as well.
func (r *Router) ObserveDispatch(now time.Duration, address, model, cacheSalt string, naming Naming, chunks []prefixindex.Chunk) {
	r.ObserveDispatchLinks(now, address, naming.Links(model, cacheSalt, chunks))
}

// ObserveDispatchLinks is Observe for parts that are named already.
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
