package cachefeed

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Options configure the feeds of a router.
type Options struct {
	// ReportLag is the longest delay of reports. Events that a load report stated count
	// as lost if they have not arrived for this long. An incarnation that has sent nothing
	// for this long counts as ended.
	ReportLag time.Duration
	// PredictionLag is how long a chunk counts as predicted on an owner that reports
	// chained chunks, and ByIDPredictionLag on one that reports chunks by ID. Unless
	// PredictionLag is above 0, no chunks are predicted on either kind of owner.
	PredictionLag, ByIDPredictionLag time.Duration
	// UncertainTTL is how long chunks by ID that were reported before a loss of reports
	// count as predicted.
	UncertainTTL time.Duration
	// ReorderWindow is how many reports may be buffered while an earlier one is missing,
	// and ReorderWait for how long.
	ReorderWindow int
	ReorderWait   time.Duration
}

// Feed tracks which chunks one owner caches. It is safe for concurrent use.
//
// Exported methods lock the mutex; View does so only if the mutex is free. Methods that
// may change the feed release the mutex with unlock, which publishes the new state. The
// caller of an unexported method must hold the mutex.
type Feed struct {
	options   *Options
	published atomic.Pointer[View]

	mutex sync.Mutex
	// forgotten is set by Forget and never cleared. The feed records no chunks any more,
	// since the owner may be assigned to another address.
	forgotten    bool
	incarnations incarnations
	record       record
	// events is used by owners that report chained chunks, and chunks by those that
	// report chunks by ID.
	events eventFeed
	chunks chunkFeed
	// epoch counts how often all chunks were dropped.
	epoch         uint64
	weightVersion string
	// incomplete is set when the owner may cache chunks that are not recorded, because
	// reports were lost, the feed did not begin with the owner's first change, or the
	// weight version has changed. Only a reset or snapshot adds the missing chunks.
	incomplete bool
	// reportsEvents is set once the owner has reported what it caches, by events, batches
	// or a snapshot.
	reportsEvents bool
}

// New returns the feed of an owner. The feed becomes the only writer of the owner's
// chunks in both indexes: index contains the chunks that owners cache, and pending the
// chunks of requests that were sent recently. The options must not change.
func New(index, pending *prefixindex.Index, owner prefixindex.Owner, options *Options) *Feed {
	f := &Feed{options: options, record: record{index: index, pending: pending, owner: owner}}
	f.startIncarnation()
	return f
}

// HandleEvent applies an event. Restarted reports whether the event was the first report
// of a new incarnation of the owner.
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
// the batch itself states that changes before it are lost. The loss of a batch that did
// not arrive within the reorder window or wait shows in View.ResyncNeeded and Complete.
// Restarted has the meaning that it has for HandleEvent.
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

// HandleReport records the state of the owner that a load report states: its incarnation,
// or 0; its weight version, or ""; and the sequence number of its newest event, or 0.
// Current is false for a report of an earlier incarnation, and after Forget.
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

// ObserveWeightVersion records the weight version that computed a response of the owner.
func (f *Feed) ObserveWeightVersion(version string) {
	f.mutex.Lock()
	defer f.unlock()
	if !f.forgotten {
		f.setWeightVersion(version)
	}
}

// HandleReplacement drops all chunks. The caller calls it when another replica has taken
// over the address.
func (f *Feed) HandleReplacement() {
	f.mutex.Lock()
	defer f.unlock()
	if f.forgotten {
		return
	}
	f.dropAll()
	f.chunks = newChunkFeed(&f.record, f.options)
}

// Forget drops all chunks and ends the feed, so that the owner may be assigned to another
// address.
func (f *Feed) Forget() {
	f.mutex.Lock()
	defer f.unlock()
	f.forgotten = true
	f.events.buffered = nil
	f.chunks = newChunkFeed(&f.record, f.options)
	f.dropAll()
}

// NextChange returns a channel that is closed at the next change of the recorded chunks.
func (f *Feed) NextChange() <-chan struct{} {
	f.mutex.Lock()
	defer f.unlock()
	return f.record.nextChange()
}

// checkNumbered checks the incarnation of a report of an owner that numbers its
// incarnations upwards, and resets the feed for a new one.
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

// checkUnordered is checkNumbered for owners whose incarnations have no order. It keeps
// the weight version.
func (f *Feed) checkUnordered(now time.Duration, incarnation uint64) (current, restarted bool) {
	if f.forgotten {
		return false, false
	}
	return f.applyIncarnation(f.incarnations.observeUnordered(now, incarnation))
}

// applyIncarnation resets the feed at the first report of an incarnation, and drops the
// chunks of the one before.
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

// setWeightVersion drops all chunks when the weight version has changed. The chunks that
// the owner has cached since then are added by the reset or snapshot that
// View.ResyncNeeded requests.
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
