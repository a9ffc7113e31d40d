package cachefeed

import "time"

// View is the state of a feed that selection reads.
type View struct {
	// Epoch must be passed to Feed.Predict, which ignores requests of an earlier epoch.
	// It changes whenever all chunks are dropped.
	Epoch uint64
	// Uncertain is set when events of chained chunks are missing, so that overlaps are
	// estimates. It is not set for chunks by ID, each of which becomes a prediction
	// instead.
	Uncertain bool
	// ResyncNeeded is set when the owner may cache chunks that are not recorded, which
	// only a reset or snapshot adds.
	ResyncNeeded bool
	// ReportsEvents is set once the owner has reported what it caches.
	ReportsEvents bool
}

// View returns the published state. Before that it updates the state, unless another
// goroutine holds the mutex: so a long reset does not delay selection.
func (f *Feed) View(now time.Duration) View {
	if f.mutex.TryLock() {
		f.giveUpOnMissingEvents(now)
		f.giveUpOnMissingBatch(now)
		f.unlock()
	}
	if published := f.published.Load(); published != nil {
		return *published
	}
	return View{}
}

// unlock publishes the state for View and unlocks the mutex. Every method that changes
// the feed ends with unlock.
func (f *Feed) unlock() {
	state := View{
		Epoch:         f.epoch,
		Uncertain:     !f.chunks.inUse && (f.incomplete || len(f.events.buffered) > 0),
		ResyncNeeded:  f.incomplete,
		ReportsEvents: f.reportsEvents,
	}
	if published := f.published.Load(); published == nil || *published != state {
		changed := state // a copy, so that only a change allocates
		f.published.Store(&changed)
	}
	f.mutex.Unlock()
}
