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

// EventKind says what an event does.
type EventKind int

// The kinds of events.
const (
	// StoredEvent adds chunks.
	StoredEvent EventKind = iota
	// RemovedEvent removes chunks.
	RemovedEvent
	// ResetEvent replaces everything.
	ResetEvent
)

// eventFeed applies the events of an owner's present incarnation, each once and in
// order.
type eventFeed struct {
	record  *record
	options *Options
	// next is the sequence number that is expected.
	next uint64
	// buffered are the events beyond next, in the order of their sequence numbers.
	buffered      []Event
	bufferedSince time.Duration
	// reportedSequence is the newest sequence number that a load report stated and
	// that has not come yet, or 0.
	reportedSequence   uint64
	reportedSequenceAt time.Duration
}

func newEventFeed(record *record, options *Options) eventFeed {
	return eventFeed{record: record, options: options, next: 1}
}

// receive applies an event, or buffers it until those before it have come.
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

// applyReset applies a reset at once, since it replaces all that the events up to its
// own number have done.
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

// applyBuffered applies the buffered events whose turn has come.
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

// find returns the index of an event among the buffered ones, or where it belongs.
func (e *eventFeed) find(sequence uint64) (index int, found bool) {
	return slices.BinarySearchFunc(e.buffered, sequence, func(buffered Event, target uint64) int {
		return cmp.Compare(buffered.Sequence, target)
	})
}

// expect records that a load report has stated a newest sequence number.
func (e *eventFeed) expect(now time.Duration, sequence uint64) {
	if e.reportedSequence == 0 && sequence >= e.next {
		e.reportedSequence = sequence
		e.reportedSequenceAt = now
	}
}

// giveUpOnMissing gives up on events that have been missing for too long, and reports
// whether some are lost.
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
