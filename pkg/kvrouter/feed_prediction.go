package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// predict records that the owner probably caches the chunks of a request that was
// dispatched in the given epoch of the feed.
func (f *feed) predict(now time.Duration, epoch uint64, links []prefixindex.Link) {
	f.mutex.Lock()
	defer f.unlock()
	if f.forgotten || f.epoch != epoch {
		return
	}
	defer f.notifyChange()
	if f.reportsEvents {
		f.predictUntilReported(now, links)
		return
	}
	f.index.Predict(now, f.owner, links)
}

// predictUntilReported predicts the chunks for the time until the owner's own report
// comes.
func (f *feed) predictUntilReported(now time.Duration, links []prefixindex.Link) {
	lag := f.options.PredictionLag
	if f.chunks.inUse && lag > 0 {
		lag = f.options.ByIDPredictionLag
	}
	if lag > 0 {
		f.index.PredictFor(now, lag, f.owner, links)
	}
}

// addPending records that a request with the chunks was sent, so that requests behind
// it will find them cached when their turn comes.
func (f *feed) addPending(now time.Duration, links []prefixindex.Link) {
	f.mutex.Lock()
	defer f.unlock()
	if !f.forgotten {
		f.pending.Predict(now, f.owner, links)
	}
}

// removePending withdraws addPending.
func (f *feed) removePending(links []prefixindex.Link) {
	f.mutex.Lock()
	defer f.unlock()
	defer f.notifyChange()
	for _, link := range links {
		f.pending.Remove(f.owner, []prefixindex.ChainHash{link.Hash})
	}
}
