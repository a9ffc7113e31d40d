package cachefeed

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// record holds the chunks that one owner is recorded to cache. It is the only writer of
// the owner's chunks in both indexes.
type record struct {
	// index contains reported and predicted chunks.
	index *prefixindex.Index
	// pending contains the chunks of requests that were sent recently, see
	// Feed.AddPending.
	pending *prefixindex.Index
	owner   prefixindex.Owner
	// changed is closed at the next change of the recorded chunks. It is nil while no
	// caller waits for a change.
	changed chan struct{}
}

// apply applies an event to the index.
func (r *record) apply(received Event) {
	defer r.notifyChange()
	switch received.Kind {
	case StoredEvent:
		r.index.Store(r.owner, received.Links)
	case RemovedEvent:
		r.index.Remove(r.owner, received.Hashes)
	case ResetEvent:
		r.index.Reset(r.owner, received.Links)
	}
}

// setTokens applies a change of a chunk by ID. The caller must call notifyChange, once
// for all changes of a batch.
func (r *record) setTokens(hash prefixindex.ChainHash, tokens uint32, removed bool) {
	r.index.SetTokens(r.owner, hash, tokens)
	if removed {
		r.pending.Remove(r.owner, []prefixindex.ChainHash{hash})
	}
}

// reported returns the chunks that the owner reported by ID.
func (r *record) reported() []ChunkChange {
	return lo.Map(r.index.ReportedChunks(r.owner), func(link prefixindex.Link, _ int) ChunkChange {
		return ChunkChange{Hash: link.Hash, Tokens: link.Tokens}
	})
}

// demoteReported turns all reported chunks into predictions that end after ttl.
func (r *record) demoteReported(now, ttl time.Duration) {
	r.index.DemoteReported(now, ttl, r.owner)
}

// dropCached drops the reported and predicted chunks, but not the pending ones.
func (r *record) dropCached() { r.index.Drop(r.owner) }

// dropAll drops all chunks, including the pending ones.
func (r *record) dropAll() {
	r.index.Drop(r.owner)
	r.pending.Drop(r.owner)
	r.notifyChange()
}

// removePending removes pending chunks.
func (r *record) removePending(links []prefixindex.Link) {
	defer r.notifyChange()
	for _, link := range links {
		r.pending.Remove(r.owner, []prefixindex.ChainHash{link.Hash})
	}
}

// nextChange returns a channel that is closed by the next notifyChange.
func (r *record) nextChange() <-chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

func (r *record) notifyChange() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}
