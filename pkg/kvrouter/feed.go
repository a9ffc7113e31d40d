package kvrouter

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// retiredIncarnations is how many earlier lives of a replica are remembered,
// to tell a late event of theirs from a new life.
const retiredIncarnations = 8

// event is one event of a holder's feed.
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

// feed brings the events of one holder into the index, in the order of their
// sequence numbers, each once. It is the only writer of its holder.
//
// An event that comes too early waits for those before it. If they do not come
// within the reorder window or time, they are taken for lost: what waited is
// taken in, and all that is known of the holder is in doubt until a reset.
type feed struct {
	index *prefixindex.Index
	// pending holds the parts of requests that have not answered yet.
	pending *prefixindex.Index
	// changed is closed at the next change of what the holder keeps; nil when
	// nobody waits for it.
	changed chan struct{}
	owner   prefixindex.Owner
	options *Options

	published atomic.Pointer[feedView]

	mutex sync.Mutex
	// forgotten feeds write nothing more, since their holder may be reused.
	forgotten   bool
	started     bool
	incarnation uint64
	retired     []uint64
	// lastHeardAt is when the present life was last heard of.
	lastHeardAt time.Duration
	// epoch counts how often everything was dropped.
	epoch         uint64
	weightVersion string
	// next is the sequence number that is expected.
	next uint64
	// buffered are the events beyond next, in order of sequence.
	buffered      []event
	bufferedSince time.Duration
	// reportedSequence is the newest sequence number that a load report told of.
	reportedSequence   uint64
	reportedSequenceAt time.Duration
	eventsLost         bool
	// reportsEvents tells that the holder does report what it keeps.
	reportsEvents bool
	// chunks is used by holders that report parts by their own IDs.
	chunks chunkFeed
}

// handleEvent brings in an event. Restarted tells that it was the first sign of a
// new life of the holder.
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

// checkIncarnation checks the incarnation of an event, and starts a new life if it is
// newer than the present one.
//
// Lives are numbered upwards, so anything else is late news of an earlier life.
// Only if the present life has been silent for long is it taken for the newest
// all the same, so that a replica which numbers its lives in another way is
// believed in the end.
func (f *feed) checkIncarnation(now time.Duration, incarnation uint64) (current, restarted bool) {
	if f.forgotten {
		return false, false
	}
	if f.started && incarnation != f.incarnation {
		newer := incarnation > f.incarnation && !slices.Contains(f.retired, incarnation)
		silent := now-f.lastHeardAt >= f.options.ReportLag
		if !newer && !silent {
			return false, false
		}
		f.retire(f.incarnation)
		f.startIncarnation(incarnation)
		f.dropAll()
		restarted = true
	}
	if !f.started {
		f.started = true
		f.startIncarnation(incarnation)
	}
	f.lastHeardAt = max(f.lastHeardAt, now)
	return true, restarted
}

func (f *feed) retire(incarnation uint64) {
	if len(f.retired) == retiredIncarnations {
		f.retired = slices.Delete(f.retired, 0, 1)
	}
	f.retired = append(f.retired, incarnation)
}

func (f *feed) startIncarnation(incarnation uint64) {
	f.incarnation = incarnation
	f.next = 1
	f.buffered = nil
	f.reportedSequence = 0
	f.eventsLost = false
	f.weightVersion = ""
	f.chunks = chunkFeed{}
}

func (f *feed) dropAll() {
	f.epoch++
	f.index.Drop(f.owner)
	f.pending.Drop(f.owner)
	f.notifyChange()
}

// applyInOrder applies an event or lets it wait for its turn.
func (f *feed) applyInOrder(now time.Duration, received event) FeedStatus {
	if received.kind == resetEvent {
		return f.applyReset(now, received)
	}
	if received.sequence < f.next {
		return Duplicate
	}
	at, buffered := f.findBuffered(received.sequence)
	if buffered {
		return Duplicate
	}
	if len(f.buffered) == 0 {
		f.bufferedSince = now
	}
	f.buffered = slices.Insert(f.buffered, at, received)
	f.applyBuffered(now)
	return Accepted
}

// applyReset applies a reset. It makes all events up to its own number
// superfluous, so it need not wait for them.
func (f *feed) applyReset(now time.Duration, received event) FeedStatus {
	if received.sequence+1 < f.next {
		return Stale
	}
	at, buffered := f.findBuffered(received.sequence)
	if buffered {
		at++
	}
	f.buffered = slices.Delete(f.buffered, 0, at)
	f.bufferedSince = now
	f.eventsLost = false
	f.apply(received)
	f.next = received.sequence + 1
	f.applyBuffered(now)
	return Accepted
}

func (f *feed) findBuffered(sequence uint64) (at int, found bool) {
	return slices.BinarySearchFunc(f.buffered, sequence, func(buffered event, target uint64) int {
		switch {
		case buffered.sequence < target:
			return -1
		case buffered.sequence > target:
			return 1
		}
		return 0
	})
}

// applyBuffered applies the events whose turn has come.
func (f *feed) applyBuffered(now time.Duration) {
	applied := 0
	for applied < len(f.buffered) && f.buffered[applied].sequence == f.next {
		f.apply(f.buffered[applied])
		f.next++
		applied++
	}
	if applied > 0 {
		f.buffered = slices.Delete(f.buffered, 0, applied)
		f.bufferedSince = now
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

// giveUpOnMissing stops waiting for events that have been missing for too long.
func (f *feed) giveUpOnMissing(now time.Duration) {
	if f.reportedSequence != 0 && f.next > f.reportedSequence {
		f.reportedSequence = 0
	}
	if f.reportedSequence != 0 && now-f.reportedSequenceAt >= f.options.ReportLag {
		f.reportedSequence = 0
		f.eventsLost = true
	}
	if len(f.buffered) == 0 {
		return
	}
	tooMany := len(f.buffered) > f.options.ReorderWindow
	tooLong := now-f.bufferedSince >= f.options.ReorderWait
	if !tooMany && !tooLong {
		return
	}
	for _, buffered := range f.buffered {
		f.apply(buffered)
		f.next = buffered.sequence + 1
	}
	f.buffered = nil
	f.eventsLost = true
}

// handleReport takes in what a load report says of the holder's life. Current is
// false for a report of an earlier life.
func (f *feed) handleReport(now time.Duration, report Report) (current, restarted bool) {
	f.mutex.Lock()
	defer f.unlock()
	if report.Incarnation != 0 {
		current, restarted = f.checkIncarnation(now, report.Incarnation)
		if !current {
			return false, false
		}
	}
	f.setWeightVersion(report.WeightVersion)
	if f.reportsEvents && f.reportedSequence == 0 && report.LastSequence >= f.next {
		f.reportedSequence = report.LastSequence
		f.reportedSequenceAt = now
	}
	f.giveUpOnMissing(now)
	return !f.forgotten, restarted
}

// observeWeightVersion takes in that an answer came from a weight version.
func (f *feed) observeWeightVersion(version string) {
	f.mutex.Lock()
	defer f.unlock()
	if !f.forgotten {
		f.setWeightVersion(version)
	}
}

// setWeightVersion drops everything when the weight version has changed. What the
// holder has kept since then comes with the reset that is asked for.
func (f *feed) setWeightVersion(version string) {
	if version == "" || version == f.weightVersion {
		return
	}
	changed := f.weightVersion != ""
	f.weightVersion = version
	if changed {
		f.dropAll()
		f.eventsLost = f.reportsEvents
	}
}

// handleReplacement drops everything, since another replica has the address now.
func (f *feed) handleReplacement() {
	f.mutex.Lock()
	defer f.unlock()
	if f.forgotten {
		return
	}
	f.dropAll()
	f.chunks = chunkFeed{}
}

// forget drops everything and writes nothing from now on.
func (f *feed) forget() {
	f.mutex.Lock()
	defer f.unlock()
	f.forgotten = true
	f.buffered = nil
	f.chunks = chunkFeed{}
	f.dropAll()
}
