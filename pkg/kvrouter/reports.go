package kvrouter

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Stored records that a replica or store reported chunks that it now caches, under
// chained names. The caller must not change the slice afterwards, here as for
// Removed and Reset: an event may be buffered until an earlier one has come.
func (r *Router) Stored(now time.Duration, address string, incarnation, sequence uint64, links []prefixindex.Link) cachefeed.Status {
	return r.handleEvent(now, address, incarnation, cachefeed.Event{Kind: cachefeed.StoredEvent, Sequence: sequence, Links: links})
}

// Removed records that a replica or store reported chunks that it evicted.
func (r *Router) Removed(now time.Duration, address string, incarnation, sequence uint64, hashes []prefixindex.ChainHash) cachefeed.Status {
	return r.handleEvent(now, address, incarnation, cachefeed.Event{Kind: cachefeed.RemovedEvent, Sequence: sequence, Hashes: hashes})
}

// Reset records that links is all that a replica or store cached when it had sent
// the events up to sequence. It makes the chunks certain again after lost events.
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

// ChunksReported records a batch of changes that a replica or store reported of
// chunks by their IDs. Batches may come doubled, late and out of order. Where some
// are lost, everything that the owner reported before becomes a prediction, which
// ends after the UncertainTTL unless it is reported again, and ResyncNeeded names the
// owner until ChunksReplaced.
func (r *Router) ChunksReported(now time.Duration, address string, batch cachefeed.Position, changes []cachefeed.ChunkChange) cachefeed.Status {
	state := r.state(now, address)
	status, restarted := state.feed.HandleBatch(now, batch, changes)
	if restarted {
		r.handleRestart(now, state)
	}
	return status
}

// ChunksReplaced records all that a replica or store caches after the change with
// the given sequence number. It replaces everything that was recorded.
func (r *Router) ChunksReplaced(now time.Duration, address string, incarnation, sequence uint64, chunks []cachefeed.ChunkChange) cachefeed.Status {
	state := r.state(now, address)
	status, restarted := state.feed.HandleSnapshot(now, incarnation, sequence, chunks)
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
	return state.feed.Position()
}

// ChunksComplete reports whether all that an owner caches is recorded: its changes
// were followed from its start or from a snapshot on, without a gap.
func (r *Router) ChunksComplete(address string) bool {
	state := r.existingState(address)
	return state != nil && state.feed.Complete()
}

// ChunksSnapshot returns all that a replica or store is recorded to cache, as of the
// change Position.Next. Position.Lost says that it may cache more. Found is
// false for an owner that has reported nothing.
func (r *Router) ChunksSnapshot(address string) (position cachefeed.Position, chunks []cachefeed.ChunkChange, found bool) {
	state := r.existingState(address)
	if state == nil {
		return cachefeed.Position{}, nil, false
	}
	return state.feed.Snapshot()
}

// AdoptChunks records a snapshot that another router has made by ChunksSnapshot.
// The changes that this router has followed itself are newer than the snapshot and
// stay. A snapshot without anything new, or that leaves a gap before those changes,
// is Stale and changes nothing.
func (r *Router) AdoptChunks(now time.Duration, address string, position cachefeed.Position, chunks []cachefeed.ChunkChange) cachefeed.Status {
	return r.state(now, address).feed.AdoptSnapshot(now, position, chunks)
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
	view := state.feed.View(now)
	switch {
	case r.options.Disabled.PendingChunks:
	case view.ReportsEvents:
		state.feed.AddPending(now, links)
	default:
		state.feed.Predict(now, view.Epoch, links)
	}
}

// ObserveWeightVersion records that a response of a replica came from a weight
// version. Another version than the last one discards all that the replica
// reported before.
func (r *Router) ObserveWeightVersion(now time.Duration, address, version string) {
	r.state(now, address).feed.ObserveWeightVersion(version)
}

// ResyncNeeded returns, in order, the addresses of which reports were lost or are
// missing from before the first one, and that should be asked for all that they cache.
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
