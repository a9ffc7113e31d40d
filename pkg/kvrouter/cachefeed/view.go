package cachefeed

import "time"

// View is what selection reads of a feed.
type View struct {
	// Epoch is to be given back to Feed.Predict, which ignores requests of an earlier
	// one: it changes whenever everything was dropped.
	Epoch uint64
	// Uncertain says that events of chained chunks are missing, so that overlaps are
	// guesses. Chunks by ID become predictions instead, one by one.
	Uncertain bool
	// ResyncNeeded says that the owner may cache chunks that are not recorded, and only
	// a reset or snapshot helps.
	ResyncNeeded bool
	// ReportsEvents says that the owner does report what it caches.
	ReportsEvents bool
}

// View returns the published state, which it updates unless another goroutine has
// the mutex: a long reset does not delay selection.
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

// unlock publishes the state for View and unlocks the mutex. Every change of the
// feed ends with it.
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
