package kvrouter

import "time"

// feedView is what selection reads of a feed.
type feedView struct {
	epoch uint64
	// uncertain says that events are missing, so that overlaps are guesses.
	uncertain bool
	// resyncNeeded says that they are lost, and only a reset helps.
	resyncNeeded bool
	// reportsEvents says that the owner does report what it caches.
	reportsEvents bool
}

// view returns the published state, which it updates unless another goroutine has
// the mutex: a long reset does not delay selection.
func (f *feed) view(now time.Duration) feedView {
	if f.mutex.TryLock() {
		f.giveUpOnMissing(now)
		f.giveUpOnMissingBatch(now)
		f.unlock()
	}
	if published := f.published.Load(); published != nil {
		return *published
	}
	return feedView{}
}

// unlock publishes the state for view and unlocks the mutex. Every change of the
// feed ends with it.
func (f *feed) unlock() {
	state := feedView{
		epoch:         f.epoch,
		uncertain:     !f.chunks.inUse && (f.eventsLost || len(f.events.buffered) > 0),
		resyncNeeded:  f.eventsLost,
		reportsEvents: f.reportsEvents,
	}
	if published := f.published.Load(); published == nil || *published != state {
		changed := state // a copy, so that only a change allocates
		f.published.Store(&changed)
	}
	f.mutex.Unlock()
}
