package kvrouter

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// maxTouched bounds the parts of one holder of which it is remembered that they
// changed since the feed began.
const maxTouched = 1 << 14

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
	// begun is the sequence number after which the changes were followed.
	begun uint64
	// touched are the parts that changed since begun. It is nil once nothing is
	// missing from before, or if too many changed to be told apart.
	touched map[prefixindex.ChainHash]struct{}
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
		f.beginParts(batch.From)
	}
	status = f.placeParts(now, partsBatch{position: batch, changes: changes})
	f.giveUpPartsIfDue(now)
	return status, restarted
}

// beginParts begins to follow the changes after a sequence number.
func (f *feed) beginParts(from uint64) {
	f.parts.position = from
	if from == 0 {
		return
	}
	f.lost = true
	f.parts.begun = from
	f.parts.touched = make(map[prefixindex.ChainHash]struct{})
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
	f.touch(name)
	f.index.Hold(f.holder, name, change.Tokens)
	if change.Removed {
		f.pending.Remove(f.holder, []prefixindex.ChainHash{name})
	}
}

// touch notes that a part has changed since the feed began, up to a bound.
func (f *feed) touch(name prefixindex.ChainHash) {
	if f.parts.touched == nil {
		return
	}
	f.parts.touched[name] = struct{}{}
	if len(f.parts.touched) > maxTouched {
		f.parts.touched = nil
	}
}

// doubtParts turns everything reported into guesses.
func (f *feed) doubtParts(now time.Duration) {
	f.index.Doubt(now, f.options.DoubtTTL, f.holder)
	f.lost = true
	f.parts.touched = nil
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
	f.replaceParts(now, sequence, parts)
	return Accepted, restarted
}

// replaceParts replaces everything by what was kept at a sequence number.
func (f *feed) replaceParts(now time.Duration, sequence uint64, parts []PartChange) {
	f.eventsSeen = true
	f.parts.seen = true
	f.parts.position = sequence
	f.parts.touched = nil
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
