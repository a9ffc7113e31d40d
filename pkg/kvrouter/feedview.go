package kvrouter

import (
	"time"
)

// feedView is what selection reads of a feed.
type feedView struct {
	life uint64
	// doubtful tells that events are missing.
	doubtful bool
	// resyncWanted tells that they are lost, and only a reset helps.
	resyncWanted bool
	// reports tells that the holder does report what it keeps.
	reports bool
}

// view returns the present state. It does not wait for an event that is being
// taken in, so that a long reset does not hold up selection.
func (f *feed) view(now time.Duration) feedView {
	if f.mutex.TryLock() {
		f.giveUpIfDue(now)
		f.giveUpPartsIfDue(now)
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
		life:         f.life,
		doubtful:     !f.parts.seen && (f.lost || len(f.waiting) > 0),
		resyncWanted: f.lost,
		reports:      f.eventsSeen,
	}
	if published := f.published.Load(); published == nil || *published != state {
		changed := state // a copy, so that only a change allocates
		f.published.Store(&changed)
	}
	f.mutex.Unlock()
}
