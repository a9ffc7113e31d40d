package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// predict records that the holder probably keeps the parts of a request that
// was dispatched in the given life.
func (f *feed) predict(now time.Duration, life uint64, links []prefixindex.Link) {
	f.mutex.Lock()
	defer f.unlock()
	if f.forgotten || f.life != life {
		return
	}
	defer f.announce()
	if f.eventsSeen {
		f.predictUntilReported(now, links)
		return
	}
	f.index.Predict(now, f.holder, links)
}

// predictUntilReported bridges the time until the holder's own report comes.
func (f *feed) predictUntilReported(now time.Duration, links []prefixindex.Link) {
	lag := f.options.PredictionLag
	if f.parts.seen && lag > 0 {
		lag = f.options.NamedPredictionLag
	}
	if lag > 0 {
		f.index.PredictFor(now, lag, f.holder, links)
	}
}

// expect records that a request with the parts is on its way, so that requests
// behind it find them kept once their turn has come.
func (f *feed) expect(now time.Duration, links []prefixindex.Link) {
	f.mutex.Lock()
	defer f.unlock()
	if !f.forgotten {
		f.pending.Predict(now, f.holder, links)
	}
}

// unexpect takes back expect.
func (f *feed) unexpect(links []prefixindex.Link) {
	f.mutex.Lock()
	defer f.unlock()
	defer f.announce()
	for _, link := range links {
		f.pending.Remove(f.holder, []prefixindex.ChainHash{link.Hash})
	}
}
