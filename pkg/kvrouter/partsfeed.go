package kvrouter

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// partsBatch is a batch that waits for an earlier one.
type partsBatch struct {
	position Feed
	changes  []PartChange
}

// partsFeed is the state of a holder that reports parts by their own IDs.
type partsFeed struct {
	// seen tells that the holder does so.
	seen bool
	// position is the sequence number of the newest change taken in.
	position uint64
	// waiting are batches beyond position, in order.
	waiting      []partsBatch
	waitingSince time.Duration
}

// takeParts brings in a batch of changes.
func (f *feed) takeParts(now time.Duration, batch Feed, changes []PartChange) (status FeedStatus, restarted bool) {
	f.mutex.Lock()
	defer f.unlock()
	current, restarted := f.enterUnordered(now, batch.Incarnation)
	if !current {
		return Stale, false
	}
	f.eventsSeen = true
	if !f.parts.seen {
		f.parts.seen = true
		f.parts.position = batch.From
		f.lost = f.lost || batch.From > 0
	}
	status = f.placeParts(now, partsBatch{position: batch, changes: changes})
	f.giveUpPartsIfDue(now)
	return status, restarted
}

// enterUnordered is enter for holders whose incarnations have no order: one that is
// neither the present one nor one of the last few is a new start.
func (f *feed) enterUnordered(now time.Duration, incarnation uint64) (current, restarted bool) {
	if f.forgotten || slices.Contains(f.retired, incarnation) {
		return false, false
	}
	if f.started && incarnation != f.incarnation {
		f.retire(f.incarnation)
		f.dropAll()
		f.started = false
		restarted = true
	}
	if !f.started {
		version := f.weightVersion
		f.started = true
		f.begin(incarnation)
		f.weightVersion = version
	}
	f.heardAt = max(f.heardAt, now)
	return true, restarted
}

// placeParts applies a batch, or lets it wait for the one before it.
func (f *feed) placeParts(now time.Duration, batch partsBatch) FeedStatus {
	if batch.position.Next <= f.parts.position && batch.position.From < batch.position.Next {
		return Duplicate
	}
	if batch.position.From > f.parts.position && !batch.position.Lost {
		f.waitForParts(now, batch)
		return Accepted
	}
	f.applyParts(now, batch)
	f.applyWaitingParts(now)
	if batch.position.Lost {
		return Gap
	}
	return Accepted
}

func (f *feed) waitForParts(now time.Duration, batch partsBatch) {
	if len(f.parts.waiting) == 0 {
		f.parts.waitingSince = now
	}
	at, _ := slices.BinarySearchFunc(f.parts.waiting, batch, func(waiting, wanted partsBatch) int {
		return int(int64(waiting.position.From) - int64(wanted.position.From))
	})
	f.parts.waiting = slices.Insert(f.parts.waiting, at, batch)
}

// applyParts applies the changes of a batch that were not applied yet.
func (f *feed) applyParts(now time.Duration, batch partsBatch) {
	if batch.position.Lost {
		f.doubtParts(now)
	}
	for _, change := range batch.changes {
		if change.Sequence == 0 || change.Sequence > f.parts.position {
			f.hold(change)
		}
	}
	f.parts.position = max(f.parts.position, batch.position.Next)
	f.announce()
}

func (f *feed) hold(change PartChange) {
	name := change.IndexName()
	f.index.Hold(f.holder, name, change.Tokens)
	if change.Removed {
		f.pending.Remove(f.holder, []prefixindex.ChainHash{name})
	}
}

// doubtParts turns everything reported into guesses.
func (f *feed) doubtParts(now time.Duration) {
	f.index.Doubt(now, f.options.DoubtTTL, f.holder)
	f.lost = true
}

// applyWaitingParts applies the batches whose turn has come.
func (f *feed) applyWaitingParts(now time.Duration) {
	for len(f.parts.waiting) > 0 && f.parts.waiting[0].position.From <= f.parts.position {
		next := f.parts.waiting[0]
		f.parts.waiting = slices.Delete(f.parts.waiting, 0, 1)
		f.parts.waitingSince = now
		f.applyParts(now, next)
	}
}

// giveUpPartsIfDue stops waiting for a batch that has been missing for too long.
func (f *feed) giveUpPartsIfDue(now time.Duration) {
	if len(f.parts.waiting) == 0 {
		return
	}
	tooMany := len(f.parts.waiting) > f.options.ReorderWindow
	tooLong := now-f.parts.waitingSince >= f.options.ReorderWait
	if !tooMany && !tooLong {
		return
	}
	f.doubtParts(now)
	for _, waiting := range f.parts.waiting {
		f.applyParts(now, waiting)
	}
	f.parts.waiting = nil
}

// takeList replaces everything by what the holder listed.
func (f *feed) takeList(now time.Duration, incarnation, sequence uint64, parts []PartChange) (status FeedStatus, restarted bool) {
	f.mutex.Lock()
	defer f.unlock()
	current, restarted := f.enterUnordered(now, incarnation)
	if !current {
		return Stale, false
	}
	if f.parts.seen && sequence < f.parts.position {
		return Stale, restarted
	}
	f.eventsSeen = true
	f.parts.seen = true
	f.parts.position = sequence
	f.lost = false
	f.index.Drop(f.holder)
	for _, part := range parts {
		f.hold(part)
	}
	f.parts.waiting = slices.DeleteFunc(f.parts.waiting, func(waiting partsBatch) bool {
		return waiting.position.Next <= sequence
	})
	f.applyWaitingParts(now)
	f.announce()
	return Accepted, restarted
}

func (f *feed) partsPosition() (incarnation, sequence uint64, known bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.incarnation, f.parts.position, f.parts.seen
}

func (f *feed) partsWhole() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.parts.seen && !f.lost
}
