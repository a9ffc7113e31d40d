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

// predictUntilReported predicts the chunks for as long as the owner's own report of them
// may take to arrive.
func (f *Feed) predictUntilReported(now time.Duration, links []prefixindex.Link) {
	lag := f.options.PredictionLag
	if f.chunks.inUse && lag > 0 {
		lag = f.options.ByIDPredictionLag
	}
	if lag > 0 {
		f.record.index.PredictFor(now, lag, f.record.owner, links)
	}
}

// AddPending records that a request with the chunks was sent: the owner will cache them
// by the time that it computes later requests. They stay pending for the PredictionTTL of
// the pending index, also after the first event of the request, unless RemovePending
// removes them, the owner reports by ID that it removed them, or all chunks are dropped.
func (f *Feed) AddPending(now time.Duration, links []prefixindex.Link) {
	f.mutex.Lock()
	defer f.unlock()
	if !f.forgotten {
		f.record.pending.Predict(now, f.record.owner, links)
	}
}

// RemovePending removes the chunks that AddPending recorded for a request whose prompt was
// not computed.
func (f *Feed) RemovePending(links []prefixindex.Link) {
	f.mutex.Lock()
	defer f.unlock()
	f.record.removePending(links)
}
