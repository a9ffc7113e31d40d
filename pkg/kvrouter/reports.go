package kvrouter

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Stored records an event in which a replica or store reported chained chunks that it now
// caches. The caller must not change the slice passed to Stored, Removed or Reset afterwards:
// an event may be buffered until an earlier one has arrived.
func (r *Router) Stored(now time.Duration, address string, incarnation, sequence uint64, links []prefixindex.Link) cachefeed.Status {
	return r.handleEvent(now, address, incarnation, cachefeed.Event{Kind: cachefeed.StoredEvent, Sequence: sequence, Links: links})
}

// Removed records an event in which a replica or store reported chunks that it evicted.
func (r *Router) Removed(now time.Duration, address string, incarnation, sequence uint64, hashes []prefixindex.ChainHash) cachefeed.Status {
	return r.handleEvent(now, address, incarnation, cachefeed.Event{Kind: cachefeed.RemovedEvent, Sequence: sequence, Hashes: hashes})
}

// Reset replaces all chunks recorded for a replica or store: links are all that it cached
// after the events up to sequence. After lost events, Reset makes the recorded chunks certain
// again.
func (r *Router) Reset(now time.Duration, address string, incarnation, sequence uint64, links []prefixindex.Link) cachefeed.Status {
	return r.handleEvent(now, address, incarnation, cachefeed.Event{Kind: cachefeed.ResetEvent, Sequence: sequence, Links: links})
}

// handleEvent passes an event to the feed of its owner.
func (r *Router) handleEvent(now time.Duration, address string, incarnation uint64, received cachefeed.Event) cachefeed.Status {
	state := r.state(now, address)
	status, restarted := state.feed.HandleEvent(now, incarnation, received)
	if restarted {
		r.handleRestart(now, state)
	}
	return status
}

// ChunksReported records a batch of changes that a replica or store reported for chunks by
// ID. Batches may arrive duplicated, late and out of order. If a batch is lost, all chunks
// that the owner reported before become predictions, which expire after the UncertainTTL
// unless they are reported again, and ResyncNeeded returns the owner until a snapshot is
// recorded by ChunksReplaced or AdoptChunks.
func (r *Router) ChunksReported(now time.Duration, address string, batch cachefeed.Position, changes []cachefeed.ChunkChange) cachefeed.Status {
	state := r.state(now, address)
	status, restarted := state.feed.HandleBatch(now, batch, changes)
	if restarted {
		r.handleRestart(now, state)
	}
	return status
}

// ChunksReplaced replaces all chunks recorded for a replica or store by a snapshot from the
// owner itself: chunks are all that it caches after the change with the given sequence
// number.
func (r *Router) ChunksReplaced(now time.Duration, address string, incarnation, sequence uint64, chunks []cachefeed.ChunkChange) cachefeed.Status {
	state := r.state(now, address)
	status, restarted := state.feed.HandleSnapshot(now, incarnation, sequence, chunks)
	if restarted {
		r.handleRestart(now, state)
	}
	return status
}

// ChunksPosition returns the incarnation of an owner and the sequence number of its newest
// recorded change. Found is false for an owner that has not reported chunks by ID.
func (r *Router) ChunksPosition(address string) (incarnation, sequence uint64, found bool) {
	state := r.existingState(address)
	if state == nil {
		return 0, 0, false
	}
	return state.feed.Position()
}

// ChunksComplete reports whether all chunks by ID that an owner caches are recorded: its
// changes were recorded without a gap since its start or since a snapshot.
func (r *Router) ChunksComplete(address string) bool {
	state := r.existingState(address)
	return state != nil && state.feed.Complete()
}

// ChunksSnapshot returns all chunks by ID that a replica or store is recorded to cache, as of
// the change Position.Next. If Position.Lost is set, the owner may cache more. Found is false
// for an owner that has not reported chunks by ID.
func (r *Router) ChunksSnapshot(address string) (position cachefeed.Position, chunks []cachefeed.ChunkChange, found bool) {
	state := r.existingState(address)
	if state == nil {
		return cachefeed.Position{}, nil, false
	}
	return state.feed.Snapshot()
}

// AdoptChunks records a snapshot that another router took with ChunksSnapshot. Changes that
// this router has recorded since the snapshot take precedence over it. A snapshot changes
// nothing and the status is Stale if it contains nothing new, ends before the changes that
// this router has recorded, with a gap in between, or belongs to another incarnation.
func (r *Router) AdoptChunks(now time.Duration, address string, position cachefeed.Position, chunks []cachefeed.ChunkChange) cachefeed.Status {
	return r.state(now, address).feed.AdoptSnapshot(now, position, chunks)
}

// ObserveDispatch records that another router has sent a request to a replica, which will
// therefore probably cache the chunks soon. For a request that saves chunks to a store, the
// caller calls ObserveDispatch for the store as well.
func (r *Router) ObserveDispatch(now time.Duration, address, model, cacheSalt string, naming Naming, chunks []prefixindex.Chunk) {
	r.ObserveDispatchLinks(now, address, naming.Links(model, cacheSalt, chunks))
}

// ObserveDispatchLinks is ObserveDispatch for a prompt whose links are already computed.
func (r *Router) ObserveDispatchLinks(now time.Duration, address string, links []prefixindex.Link) {
	state := r.state(now, address)
	view := state.feed.View(now)
	switch {
	case r.options.Disabled.PendingChunks:
	case view.ReportsEvents:
		state.feed.AddPending(now, links)
	default:
		state.feed.Predict(now, view.Epoch, links)
	}
}

// ObserveWeightVersion records the weight version that a replica's response was computed
// with. If it differs from the last known version, all chunks recorded for the replica are
// discarded.
func (r *Router) ObserveWeightVersion(now time.Duration, address, version string) {
	r.state(now, address).feed.ObserveWeightVersion(version)
}

// ResyncNeeded returns, in ascending order, the addresses that the caller should ask for all
// that they cache, because some of their reports were lost, the first recorded report was not
// their first one, or their weight version has changed.
func (r *Router) ResyncNeeded(now time.Duration) []string {
	r.mutex.Lock()
	states := lo.Values(r.replicas.byAddress)
	r.mutex.Unlock()
	var addresses []string
	for _, state := range states {
		if state.feed.View(now).ResyncNeeded {
			addresses = append(addresses, state.address)
		}
	}
	slices.Sort(addresses)
	return addresses
}
