package kvrouter

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// maxRetiredIncarnations is how many earlier incarnations of an owner are
// remembered, to tell their late events from those of a new one.
const maxRetiredIncarnations = 8

// feed records the reports of one owner in the index, each once and in order. It is
// the only writer of its owner.
//
// An owner reports either chained chunks, as events that are numbered upwards from 1
// in each incarnation (eventFeed), or chunks by ID, as batches of changes between
// two sequence numbers (chunkFeed). A report that comes too early is buffered until
// those before it have come. If they don't come within the reorder window or wait,
// they count as lost: what is buffered is applied, and all that is recorded of the
// owner is uncertain until a reset or snapshot.
//
// Methods that handle, observe or record something from outside take the mutex and
// end with unlock; the caller of all others holds it.
type feed struct {
	index *prefixindex.Index
	// pending has the chunks of requests whose first event has not come yet.
	pending *prefixindex.Index
	owner   prefixindex.Owner
	options *Options

	published atomic.Pointer[feedView]

	mutex sync.Mutex
	// changed is closed at the next change of what the owner caches; nil when
	// nobody waits for it.
	changed chan struct{}
	// forgotten is set for good when the address was dropped. The feed writes nothing
	// any more, since the owner may be assigned again.
	forgotten bool
	// started is set once an incarnation was seen.
	started     bool
	incarnation uint64
	retired     []uint64
	// lastHeardAt is when the present incarnation last reported.
	lastHeardAt time.Duration
	// epoch counts how often everything was dropped.
	epoch         uint64
	weightVersion string
	// eventsLost says that reports were lost, and only a reset or snapshot helps.
	eventsLost bool
	// reportsEvents says that the owner does report what it caches.
	reportsEvents bool
	// events is used by owners that report chained chunks, and chunks by those that
	// report chunks by ID.
	events eventFeed
	chunks chunkFeed
}

// checkIncarnation checks the incarnation of an event, and starts a new one if it is
// newer than the present one.
//
// Incarnations are numbered upwards, so anything else is a late event of an earlier
// one. Only if the present incarnation has been silent for long is it taken for the
// newest all the same, so that a replica which numbers its incarnations in another
// way is believed in the end.
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

// checkUnorderedIncarnation is checkIncarnation for owners whose incarnations have no
// order: one that is neither the present one nor one of the last few is a new start.
func (f *feed) checkUnorderedIncarnation(now time.Duration, incarnation uint64) (current, restarted bool) {
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
		f.startIncarnation(incarnation)
		f.weightVersion = version
	}
	f.lastHeardAt = max(f.lastHeardAt, now)
	return true, restarted
}

func (f *feed) retire(incarnation uint64) {
	if len(f.retired) == maxRetiredIncarnations {
		f.retired = slices.Delete(f.retired, 0, 1)
	}
	f.retired = append(f.retired, incarnation)
}

func (f *feed) startIncarnation(incarnation uint64) {
	f.incarnation = incarnation
	f.eventsLost = false
	f.weightVersion = ""
	f.events = eventFeed{next: 1}
	f.chunks = chunkFeed{}
}

func (f *feed) dropAll() {
	f.epoch++
	f.index.Drop(f.owner)
	f.pending.Drop(f.owner)
	f.notifyChange()
}

// handleReport records what a load report says of the owner's incarnation. Current is
// false for a report of an earlier one.
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
	if f.reportsEvents {
		f.events.expect(now, report.LastSequence)
	}
	f.giveUpOnMissing(now)
	return !f.forgotten, restarted
}

// observeWeightVersion records that a response came from a weight version.
func (f *feed) observeWeightVersion(version string) {
	f.mutex.Lock()
	defer f.unlock()
	if !f.forgotten {
		f.setWeightVersion(version)
	}
}

// setWeightVersion drops everything when the weight version has changed. What the
// owner has cached since then comes with the reset that is asked for.
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
	f.events.buffered = nil
	f.chunks = chunkFeed{}
	f.dropAll()
}

// nextChange returns a channel that is closed at the next change of what the owner
// caches.
func (f *feed) nextChange() <-chan struct{} {
	f.mutex.Lock()
	defer f.unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// notifyChange closes the channel of nextChange.
func (f *feed) notifyChange() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}
