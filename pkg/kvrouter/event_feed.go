package kvrouter

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// event is one event of an owner that reports chained chunks.
type event struct {
	kind     eventKind
	sequence uint64
	links    []prefixindex.Link
	hashes   []prefixindex.ChainHash
}

type eventKind int

const (
	storedEvent eventKind = iota
	removedEvent
	resetEvent
)

// eventFeed is the state of an owner that reports chained chunks, in its present
// incarnation.
type eventFeed struct {
	// next is the sequence number that is expected.
	next uint64
	// buffered are the events beyond next, in the order of their sequence numbers.
	buffered      []event
	bufferedSince time.Duration
	// reportedSequence is the newest sequence number that a load report stated and
	// that has not come yet, or 0.
	reportedSequence   uint64
	reportedSequenceAt time.Duration
}

// expect records that a load report has stated a newest sequence number.
func (e *eventFeed) expect(now time.Duration, sequence uint64) {
	if e.reportedSequence == 0 && sequence >= e.next {
		e.reportedSequence = sequence
		e.reportedSequenceAt = now
	}
}

// find returns the position of an event among the buffered ones, or where it belongs.
func (e *eventFeed) find(sequence uint64) (position int, found bool) {
	return slices.BinarySearchFunc(e.buffered, sequence, func(buffered event, target uint64) int {
		switch {
		case buffered.sequence < target:
			return -1
		case buffered.sequence > target:
			return 1
		}
		return 0
	})
}

// handleEvent applies an event. Restarted says that it was the first sign of a
// new incarnation of the owner.
func (f *feed) handleEvent(now time.Duration, incarnation uint64, received event) (status FeedStatus, restarted bool) {
	f.mutex.Lock()
	defer f.unlock()
	current, restarted := f.checkIncarnation(now, incarnation)
	if !current || received.sequence == 0 {
		return Stale, false
	}
	f.reportsEvents = true
	status = f.applyInOrder(now, received)
	f.giveUpOnMissing(now)
	if status == Accepted && f.eventsLost {
		status = Gap
	}
	return status, restarted
}

// applyInOrder applies an event, or buffers it until those before it have come.
func (f *feed) applyInOrder(now time.Duration, received event) FeedStatus {
	if received.kind == resetEvent {
		return f.applyReset(now, received)
	}
	if received.sequence < f.events.next {
		return Duplicate
	}
	position, buffered := f.events.find(received.sequence)
	if buffered {
		return Duplicate
	}
	if len(f.events.buffered) == 0 {
		f.events.bufferedSince = now
	}
	f.events.buffered = slices.Insert(f.events.buffered, position, received)
	f.applyBuffered(now)
	return Accepted
}

// applyReset applies a reset. It makes all events up to its own number
// superfluous, so it need not wait for them.
func (f *feed) applyReset(now time.Duration, received event) FeedStatus {
	if received.sequence+1 < f.events.next {
		return Stale
	}
	superseded, buffered := f.events.find(received.sequence)
	if buffered {
		superseded++
	}
	f.events.buffered = slices.Delete(f.events.buffered, 0, superseded)
	f.events.bufferedSince = now
	f.eventsLost = false
	f.apply(received)
	f.events.next = received.sequence + 1
	f.applyBuffered(now)
	return Accepted
}

// applyBuffered applies the buffered events whose turn has come.
func (f *feed) applyBuffered(now time.Duration) {
	applied := 0
	for applied < len(f.events.buffered) && f.events.buffered[applied].sequence == f.events.next {
		f.apply(f.events.buffered[applied])
		f.events.next++
		applied++
	}
	if applied > 0 {
		f.events.buffered = slices.Delete(f.events.buffered, 0, applied)
		f.events.bufferedSince = now
	}
}

func (f *feed) apply(received event) {
	defer f.notifyChange()
	switch received.kind {
	case storedEvent:
		f.index.Store(f.owner, received.links)
	case removedEvent:
		f.index.Remove(f.owner, received.hashes)
	case resetEvent:
		f.index.Reset(f.owner, received.links)
	}
}

// giveUpOnMissing gives up on events that have been missing for too long.
func (f *feed) giveUpOnMissing(now time.Duration) {
	events := &f.events
	if events.reportedSequence != 0 && events.next > events.reportedSequence {
		events.reportedSequence = 0
	}
	if events.reportedSequence != 0 && now-events.reportedSequenceAt >= f.options.ReportLag {
		events.reportedSequence = 0
		f.eventsLost = true
	}
	if len(events.buffered) == 0 {
		return
	}
	tooMany := len(events.buffered) > f.options.ReorderWindow
	tooLong := now-events.bufferedSince >= f.options.ReorderWait
	if !tooMany && !tooLong {
		return
	}
	for _, buffered := range events.buffered {
		f.apply(buffered)
		events.next = buffered.sequence + 1
	}
	events.buffered = nil
	f.eventsLost = true
}
