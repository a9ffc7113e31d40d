package cachefeed

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Options configure the feeds of a router.
type Options struct {
	// ReportLag is how late reports may be: events that a load report states are
	// lost, and an incarnation has ended, when nothing came for so long.
	ReportLag time.Duration
	// PredictionLag is how long a chunk counts as predicted on an owner that does
	// report chained chunks, and ByIDPredictionLag on one that reports chunks by ID.
	// Unless PredictionLag is above 0, nothing is predicted of either.
	PredictionLag, ByIDPredictionLag time.Duration
	// UncertainTTL is how long chunks by ID count as predicted that were reported
	// before some reports were lost.
	UncertainTTL time.Duration
	// ReorderWindow is how many reports are buffered for a missing one, and
	// ReorderWait for how long.
	ReorderWindow int
	ReorderWait   time.Duration
}

// Feed follows what one owner caches. It is safe for concurrent use.
//
// Exported methods take the mutex, and View only if it is free. Those that may change
// the feed release it with unlock, which publishes the new state. The caller of all
// other methods holds the mutex.
type Feed struct {
	options   *Options
	published atomic.Pointer[View]

	mutex sync.Mutex
	// forgotten is set for good when the address was dropped. The feed writes nothing
	// any more, since the owner may be assigned again.
	forgotten    bool
	incarnations incarnations
	record       record
	// events is used by owners that report chained chunks, and chunks by those that
	// report chunks by ID.
	events eventFeed
	chunks chunkFeed
	// epoch counts how often everything was dropped.
	epoch         uint64
	weightVersion string
	// incomplete says that the owner may cache chunks that are not recorded, because
	// reports were lost, the feed began in the middle of them, or the weight version
	// has changed. Only a reset or snapshot helps.
	incomplete bool
	// reportsEvents says that the owner does report what it caches, by events or
	// batches.
	reportsEvents bool
}

// New returns the feed of an owner, which becomes the only writer of the owner in both
// indexes: index has what owners cache, pending the chunks of requests that were sent
// lately. The options must not change.
func New(index, pending *prefixindex.Index, owner prefixindex.Owner, options *Options) *Feed {
	f := &Feed{options: options, record: record{index: index, pending: pending, owner: owner}}
	f.startIncarnation()
	return f
}

// HandleEvent applies an event. Restarted says that it was the first sign of a
// new incarnation of the owner.
func (f *Feed) HandleEvent(now time.Duration, incarnation uint64, received Event) (status Status, restarted bool) {
	f.mutex.Lock()
	defer f.unlock()
	current, restarted := f.checkNumbered(now, incarnation)
	if !current || received.Sequence == 0 {
		return Stale, false
	}
	f.reportsEvents = true
	status = f.events.receive(now, received)
	if received.Kind == ResetEvent && status == Accepted {
		f.incomplete = false
	}
	f.giveUpOnMissingEvents(now)
	if status == Accepted && f.incomplete {
		status = Gap
	}
	return status, restarted
}

// HandleBatch applies a batch of changes of chunks by ID. The status is Gap only if
// the batch itself says that changes are lost. A batch that is given up on because it
// has been missing for too long shows in View.ResyncNeeded and Complete.
func (f *Feed) HandleBatch(now time.Duration, position Position, changes []ChunkChange) (status Status, restarted bool) {
	f.mutex.Lock()
	defer f.unlock()
	current, restarted := f.checkUnordered(now, position.Incarnation)
	if !current {
		return Stale, false
	}
	f.reportsEvents = true
	if !f.chunks.inUse && !f.chunks.start(position.From) {
		f.incomplete = true
	}
	status = f.chunks.receive(now, batch{position: position, changes: changes})
	if status == Gap {
		f.incomplete = true
	}
	f.giveUpOnMissingBatch(now)
	return status, restarted
}

// HandleReport records what a load report says of the owner: its incarnation, or 0; its
// weight version, or ""; and the sequence number of its newest event, or 0. Current is
// false for a report of an earlier incarnation.
func (f *Feed) HandleReport(now time.Duration, incarnation uint64, weightVersion string, lastSequence uint64) (current, restarted bool) {
	f.mutex.Lock()
	defer f.unlock()
	if incarnation != 0 {
		current, restarted = f.checkNumbered(now, incarnation)
		if !current {
			return false, false
		}
	}
	f.setWeightVersion(weightVersion)
	if f.reportsEvents {
		f.events.expect(now, lastSequence)
	}
	f.giveUpOnMissingEvents(now)
	return !f.forgotten, restarted
}

// ObserveWeightVersion records that a response came from a weight version.
func (f *Feed) ObserveWeightVersion(version string) {
	f.mutex.Lock()
	defer f.unlock()
	if !f.forgotten {
		f.setWeightVersion(version)
	}
}

// HandleReplacement drops everything, since another replica has the address now.
func (f *Feed) HandleReplacement() {
	f.mutex.Lock()
	defer f.unlock()
	if f.forgotten {
		return
	}
	f.dropAll()
	f.chunks = newChunkFeed(&f.record, f.options)
}

// Forget drops everything and writes nothing from now on, so that the owner may be
// assigned again.
func (f *Feed) Forget() {
	f.mutex.Lock()
	defer f.unlock()
	f.forgotten = true
	f.events.buffered = nil
	f.chunks = newChunkFeed(&f.record, f.options)
	f.dropAll()
}

// NextChange returns a channel that is closed at the next change of what the owner
// caches.
func (f *Feed) NextChange() <-chan struct{} {
	f.mutex.Lock()
	defer f.unlock()
	return f.record.nextChange()
}

// checkNumbered checks the incarnation of a report, which the owner numbers upwards, and
// follows it if it is a new one.
func (f *Feed) checkNumbered(now time.Duration, incarnation uint64) (current, restarted bool) {
	if f.forgotten {
		return false, false
	}
	status := f.incarnations.observeNumbered(now, incarnation, f.options.ReportLag)
	if status.isStart() {
		f.weightVersion = ""
	}
	return f.applyIncarnation(status)
}

// checkUnordered is checkNumbered for owners whose incarnations have no order. The
// weight version stays.
func (f *Feed) checkUnordered(now time.Duration, incarnation uint64) (current, restarted bool) {
	if f.forgotten {
		return false, false
	}
	return f.applyIncarnation(f.incarnations.observeUnordered(now, incarnation))
}

// applyIncarnation starts anew with a new incarnation.
func (f *Feed) applyIncarnation(status incarnationStatus) (current, restarted bool) {
	if status.isStart() {
		f.startIncarnation()
	}
	if status == restartedIncarnation {
		f.dropAll()
	}
	return status != staleIncarnation, status == restartedIncarnation
}

func (f *Feed) startIncarnation() {
	f.incomplete = false
	f.events = newEventFeed(&f.record, f.options)
	f.chunks = newChunkFeed(&f.record, f.options)
}

// setWeightVersion drops everything when the weight version has changed. What the
// owner has cached since then comes with the reset that is asked for.
func (f *Feed) setWeightVersion(version string) {
	if version == "" || version == f.weightVersion {
		return
	}
	changed := f.weightVersion != ""
	f.weightVersion = version
	if changed {
		f.dropAll()
		f.incomplete = f.reportsEvents
	}
}

func (f *Feed) dropAll() {
	f.epoch++
	f.record.dropAll()
}

func (f *Feed) giveUpOnMissingEvents(now time.Duration) {
	if f.events.giveUpOnMissing(now) {
		f.incomplete = true
	}
}

func (f *Feed) giveUpOnMissingBatch(now time.Duration) {
	if f.chunks.giveUpOnMissing(now) {
		f.incomplete = true
	}
}
