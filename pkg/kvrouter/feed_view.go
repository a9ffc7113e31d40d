package kvrouter

import (
	"time"
)

// feedView is what selection reads of a feed.
type feedView struct {
	epoch uint64
	// uncertain tells that events are missing.
	uncertain bool
	// resyncNeeded tells that they are lost, and only a reset helps.
	resyncNeeded bool
	// reportsEvents tells that the holder does report what it keeps.
	reportsEvents bool
}

// view returns the present state. It does not wait for an event that is being
// taken in, so that a long reset does not hold up selection.
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

// unlock publishes the state for view, and ends a change of the feed.
func (f *feed) unlock() {
	state := feedView{
		epoch:         f.epoch,
		uncertain:     !f.chunks.inUse && (f.eventsLost || len(f.buffered) > 0),
		resyncNeeded:  f.eventsLost,
		reportsEvents: f.reportsEvents,
	}
	if published := f.published.Load(); published == nil || *published != state {
		changed := state // a copy, so that only a change allocates
		f.published.Store(&changed)
	}
	f.mutex.Unlock()
}
