package cachefeed

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Predict records that the owner probably caches the chunks of a request that was
// dispatched in the given epoch of the feed.
func (f *Feed) Predict(now time.Duration, epoch uint64, links []prefixindex.Link) {
	f.mutex.Lock()
	defer f.unlock()
	if f.forgotten || f.epoch != epoch {
		return
	}
	defer f.record.notifyChange()
	if f.reportsEvents {
		f.predictUntilReported(now, links)
		return
	}
	f.record.index.Predict(now, f.record.owner, links)
}

// predictUntilReported predicts the chunks for the time until the owner's own report
// comes.
func (f *Feed) predictUntilReported(now time.Duration, links []prefixindex.Link) {
	lag := f.options.PredictionLag
	if f.chunks.inUse && lag > 0 {
		lag = f.options.ByIDPredictionLag
	}
	if lag > 0 {
		f.record.index.PredictFor(now, lag, f.record.owner, links)
	}
}

// AddPending records that a request with the chunks was sent, so that requests behind
// it will find them cached when their turn comes. They stay for the PredictionTTL of the
// pending index, beyond the first event too, unless RemovePending withdraws them or the
// owner reports that it removed them by ID.
func (f *Feed) AddPending(now time.Duration, links []prefixindex.Link) {
	f.mutex.Lock()
	defer f.unlock()
	if !f.forgotten {
		f.record.pending.Predict(now, f.record.owner, links)
	}
}

// RemovePending withdraws AddPending for a request that did not have its prompt computed.
func (f *Feed) RemovePending(links []prefixindex.Link) {
	f.mutex.Lock()
	defer f.unlock()
	f.record.removePending(links)
}
