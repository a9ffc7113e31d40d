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
	holder  prefixindex.Holder
	options *Options

	published atomic.Pointer[feedView]

	mutex sync.Mutex
	// forgotten feeds write nothing more, since their holder may be reused.
	forgotten   bool
	started     bool
	incarnation uint64
	retired     []uint64
	// heardAt is when the present life was last heard of.
	heardAt time.Duration
	// life counts how often everything was dropped.
	life          uint64
	weightVersion string
	// next is the sequence number that is expected.
	next uint64
	// waiting are the events beyond next, in order of sequence.
	waiting      []event
	waitingSince time.Duration
	// tail is the newest sequence number that a load report told of.
	tail      uint64
	tailSince time.Duration
	lost      bool
	// eventsSeen tells that the holder does report what it keeps.
	eventsSeen bool
	// parts is used by holders that report parts by their own IDs.
	parts partsFeed
}

// take brings in an event. Restarted tells that it was the first sign of a
// new life of the holder.
func (f *feed) take(now time.Duration, incarnation uint64, taken event) (status FeedStatus, restarted bool) {
	f.mutex.Lock()
	defer f.unlock()
	current, restarted := f.enter(now, incarnation)
	if !current || taken.sequence == 0 {
		return Stale, false
	}
	f.eventsSeen = true
	status = f.place(now, taken)
	f.giveUpIfDue(now)
	if status == Accepted && f.lost {
		status = Gap
	}
	return status, restarted
}

// enter checks the incarnation of an event, and starts a new life if it is
// newer than the present one.
//
// Lives are numbered upwards, so anything else is late news of an earlier life.
// Only if the present life has been silent for long is it taken for the newest
// all the same, so that a replica which numbers its lives in another way is
// believed in the end.
func (f *feed) enter(now time.Duration, incarnation uint64) (current, restarted bool) {
	if f.forgotten {
		return false, false
	}
	if f.started && incarnation != f.incarnation {
		newer := incarnation > f.incarnation && !slices.Contains(f.retired, incarnation)
		silent := now-f.heardAt >= f.options.ReportLag
		if !newer && !silent {
			return false, false
		}
		f.retire(f.incarnation)
		f.begin(incarnation)
		f.dropAll()
		restarted = true
	}
	if !f.started {
		f.started = true
		f.begin(incarnation)
	}
	f.heardAt = max(f.heardAt, now)
	return true, restarted
}

func (f *feed) retire(incarnation uint64) {
	if len(f.retired) == retiredIncarnations {
		f.retired = slices.Delete(f.retired, 0, 1)
	}
	f.retired = append(f.retired, incarnation)
}

func (f *feed) begin(incarnation uint64) {
	f.incarnation = incarnation
	f.next = 1
	f.waiting = nil
	f.tail = 0
	f.lost = false
	f.weightVersion = ""
	f.parts = partsFeed{}
}

func (f *feed) dropAll() {
	f.life++
	f.index.Drop(f.holder)
	f.pending.Drop(f.holder)
	f.announce()
}

// place applies an event or lets it wait for its turn.
func (f *feed) place(now time.Duration, taken event) FeedStatus {
	if taken.kind == resetEvent {
		return f.placeReset(now, taken)
	}
	if taken.sequence < f.next {
		return Duplicate
	}
	at, waits := f.findWaiting(taken.sequence)
	if waits {
		return Duplicate
	}
	if len(f.waiting) == 0 {
		f.waitingSince = now
	}
	f.waiting = slices.Insert(f.waiting, at, taken)
	f.applyWaiting(now)
	return Accepted
}

// placeReset applies a reset. It makes all events up to its own number
// superfluous, so it need not wait for them.
func (f *feed) placeReset(now time.Duration, taken event) FeedStatus {
	if taken.sequence+1 < f.next {
		return Stale
	}
	at, waits := f.findWaiting(taken.sequence)
	if waits {
		at++
	}
	f.waiting = slices.Delete(f.waiting, 0, at)
	f.waitingSince = now
	f.lost = false
	f.apply(taken)
	f.next = taken.sequence + 1
	f.applyWaiting(now)
	return Accepted
}

func (f *feed) findWaiting(sequence uint64) (at int, found bool) {
	return slices.BinarySearchFunc(f.waiting, sequence, func(waiting event, wanted uint64) int {
		switch {
		case waiting.sequence < wanted:
			return -1
		case waiting.sequence > wanted:
			return 1
		}
		return 0
	})
}

// applyWaiting applies the events whose turn has come.
func (f *feed) applyWaiting(now time.Duration) {
	applied := 0
	for applied < len(f.waiting) && f.waiting[applied].sequence == f.next {
		f.apply(f.waiting[applied])
		f.next++
		applied++
	}
	if applied > 0 {
		f.waiting = slices.Delete(f.waiting, 0, applied)
		f.waitingSince = now
	}
}

func (f *feed) apply(taken event) {
	defer f.announce()
	switch taken.kind {
	case storedEvent:
		f.index.Store(f.holder, taken.links)
	case removedEvent:
		f.index.Remove(f.holder, taken.hashes)
	case resetEvent:
		f.index.Reset(f.holder, taken.links)
	}
}

// giveUpIfDue stops waiting for events that have been missing for too long.
func (f *feed) giveUpIfDue(now time.Duration) {
	if f.tail != 0 && f.next > f.tail {
		f.tail = 0
	}
	if f.tail != 0 && now-f.tailSince >= f.options.ReportLag {
		f.tail = 0
		f.lost = true
	}
	if len(f.waiting) == 0 {
		return
	}
	tooMany := len(f.waiting) > f.options.ReorderWindow
	tooLong := now-f.waitingSince >= f.options.ReorderWait
	if !tooMany && !tooLong {
		return
	}
	for _, waiting := range f.waiting {
		f.apply(waiting)
		f.next = waiting.sequence + 1
	}
	f.waiting = nil
	f.lost = true
}

// reported takes in what a load report says of the holder's life. Current is
// false for a report of an earlier life.
func (f *feed) reported(now time.Duration, report Report) (current, restarted bool) {
	f.mutex.Lock()
	defer f.unlock()
	if report.Incarnation != 0 {
		current, restarted = f.enter(now, report.Incarnation)
		if !current {
			return false, false
		}
	}
	f.changeVersion(report.WeightVersion)
	if f.eventsSeen && f.tail == 0 && report.LastSequence >= f.next {
		f.tail = report.LastSequence
		f.tailSince = now
	}
	f.giveUpIfDue(now)
	return !f.forgotten, restarted
}

// observeVersion takes in that an answer came from a weight version.
func (f *feed) observeVersion(version string) {
	f.mutex.Lock()
	defer f.unlock()
	if !f.forgotten {
		f.changeVersion(version)
	}
}

// changeVersion drops everything when the weight version has changed. What the
// holder has kept since then comes with the reset that is asked for.
func (f *feed) changeVersion(version string) {
	if version == "" || version == f.weightVersion {
		return
	}
	changed := f.weightVersion != ""
	f.weightVersion = version
	if changed {
		f.dropAll()
		f.lost = f.eventsSeen
	}
}

// replaced drops everything, since another replica has the address now.
func (f *feed) replaced() {
	f.mutex.Lock()
	defer f.unlock()
	if f.forgotten {
		return
	}
	f.dropAll()
	f.parts = partsFeed{}
}

// forget drops everything and writes nothing from now on.
func (f *feed) forget() {
	f.mutex.Lock()
	defer f.unlock()
	f.forgotten = true
	f.waiting = nil
	f.parts = partsFeed{}
	f.dropAll()
}
