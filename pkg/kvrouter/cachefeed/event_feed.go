package cachefeed

import (
	"cmp"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Event is one event of an owner that reports chained chunks.
type Event struct {
	Kind EventKind
	// Sequence is the number of the event in its incarnation, from 1 up.
	Sequence uint64
	// Links are the chunks of a StoredEvent or ResetEvent, and Hashes those of a
	// RemovedEvent. They must not be changed afterwards: the event may be buffered.
	Links  []prefixindex.Link
	Hashes []prefixindex.ChainHash
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	// StoredEvent adds chunks.
	StoredEvent EventKind = iota
	// RemovedEvent removes chunks.
	RemovedEvent
	// ResetEvent replaces all chunks.
	ResetEvent
)

// eventFeed applies the events of an owner's current incarnation, each once and in
// order.
type eventFeed struct {
	record  *record
	options *Options
	// next is the sequence number of the next event to apply.
	next uint64
	// buffered are the events beyond next, in the order of their sequence numbers.
	// bufferedSince is when the wait for the missing event before them began.
	buffered      []Event
	bufferedSince time.Duration
	// reportedSequence is the number of the owner's newest event by a load report that
	// arrived at reportedSequenceAt, until that event arrives or is lost; otherwise 0.
	reportedSequence   uint64
	reportedSequenceAt time.Duration
}

func newEventFeed(record *record, options *Options) eventFeed {
	return eventFeed{record: record, options: options, next: 1}
}

// receive applies an event, or buffers it until those before it have arrived.
func (e *eventFeed) receive(now time.Duration, received Event) Status {
	if received.Kind == ResetEvent {
		return e.applyReset(now, received)
	}
	if received.Sequence < e.next {
		return Duplicate
	}
	index, buffered := e.find(received.Sequence)
	if buffered {
		return Duplicate
	}
	if len(e.buffered) == 0 {
		e.bufferedSince = now
	}
	e.buffered = slices.Insert(e.buffered, index, received)
	e.applyBuffered(now)
	return Accepted
}

// applyReset applies a reset without waiting for missing events, since it replaces the
// effect of all events up to its own number.
func (e *eventFeed) applyReset(now time.Duration, received Event) Status {
	if received.Sequence+1 < e.next {
		return Stale
	}
	superseded, buffered := e.find(received.Sequence)
	if buffered {
		superseded++
	}
	e.buffered = slices.Delete(e.buffered, 0, superseded)
	e.bufferedSince = now
	e.record.apply(received)
	e.next = received.Sequence + 1
	e.applyBuffered(now)
	return Accepted
}

// applyBuffered applies the buffered events up to the next gap.
func (e *eventFeed) applyBuffered(now time.Duration) {
	applied := 0
	for applied < len(e.buffered) && e.buffered[applied].Sequence == e.next {
		e.record.apply(e.buffered[applied])
		e.next++
		applied++
	}
	if applied > 0 {
		e.buffered = slices.Delete(e.buffered, 0, applied)
		e.bufferedSince = now
	}
}

// find returns the index of an event among the buffered ones, or the index at which to
// insert it.
func (e *eventFeed) find(sequence uint64) (index int, found bool) {
	return slices.BinarySearchFunc(e.buffered, sequence, func(buffered Event, target uint64) int {
		return cmp.Compare(buffered.Sequence, target)
	})
}

// expect records the number of the owner's newest event, which a load report states. It
// does nothing if that event was applied, or while an earlier number is recorded.
func (e *eventFeed) expect(now time.Duration, sequence uint64) {
	if e.reportedSequence == 0 && sequence >= e.next {
		e.reportedSequence = sequence
		e.reportedSequenceAt = now
	}
}

// giveUpOnMissing stops waiting for events that a load report stated ReportLag ago, and
// for events before the buffered ones once the reorder window or wait is exceeded; it then
// applies the buffered ones. It reports whether events were lost.
func (e *eventFeed) giveUpOnMissing(now time.Duration) (lost bool) {
	if e.reportedSequence != 0 && e.next > e.reportedSequence {
		e.reportedSequence = 0
	}
	if e.reportedSequence != 0 && now-e.reportedSequenceAt >= e.options.ReportLag {
		e.reportedSequence = 0
		lost = true
	}
	if len(e.buffered) == 0 {
		return lost
	}
	tooMany := len(e.buffered) > e.options.ReorderWindow
	tooLong := now-e.bufferedSince >= e.options.ReorderWait
	if !tooMany && !tooLong {
		return lost
	}
	for _, buffered := range e.buffered {
		e.record.apply(buffered)
		e.next = buffered.Sequence + 1
	}
	e.buffered = nil
	return true
}
