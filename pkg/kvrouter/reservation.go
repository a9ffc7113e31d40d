package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/speed"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Reservation accounts for the load of one attempt on a replica: its prefill until the first
// token, and its memory until the end. It is safe for concurrent use. The caller must call
// Finish or Cancelled when the attempt has ended.
type Reservation struct {
	router *Router
	// model is the cost model that chose the replica.
	model costModel
	state *replicaState
	links []prefixindex.Link
	// pull is valid only if pulls is set.
	pull  plannedPull
	pulls bool
	// feedEpoch is the epoch of the replica's feed at the selection. A prediction for an
	// earlier epoch than the present one is ignored.
	feedEpoch uint64
	// startedAt is the time of the selection, computeTokens the number of prompt tokens that
	// the replica has to compute, and backlogTokens the number of tokens of other prompts
	// that it computes before. At the first token, the cost model updates its speed
	// estimates from the three.
	startedAt     time.Duration
	computeTokens float64
	backlogTokens float64

	// The fields below are set by the time cost model, and zero with the block cost model.

	// work is the entry of the prompt in the replica's prefill queue, where it stays until
	// the first token.
	work *replicaload.PrefillWork
	// latency is the latency estimate of the model's replicas, which the first token updates.
	latency *speed.Latency
	// waited reports whether the attempt was held back by a PrefixWait. Its time to the first
	// token then includes the wait and does not show the replica's speed.
	waited bool
	// store is the store that the chunks are saved to, or nil.
	store *replicaState

	// The router's lock guards the fields below. They do not change after the attempt is
	// finished.

	load       replicaload.Load
	firstToken bool
	finished   bool
	generated  uint32
}

// newReservation returns a reservation without load. The cost model adds the load.
func (r *Router) newReservation(model costModel, req *Request, chosen *scoredCandidate) *Reservation {
	return &Reservation{
		router:        r,
		model:         model,
		state:         chosen.state,
		links:         chosen.prompt.links,
		pull:          chosen.pull,
		pulls:         chosen.pulls,
		feedEpoch:     chosen.view.Epoch,
		startedAt:     req.Now,
		backlogTokens: chosen.backlogTokens,
	}
}

// setLoad sets the reservation's contribution to the replica's load. The caller holds the
// router's lock.
func (r *Reservation) setLoad(now time.Duration, target replicaload.Load) {
	change := target.Plus(r.load.Times(-1))
	r.load = target
	r.state.load.ChangeLocal(now, change)
}

// FirstToken records that the replica has sent the first token, which means that it has
// computed the prompt. Only the first call has an effect.
func (r *Reservation) FirstToken(now time.Duration) {
	if !r.endPrefill(now) {
		return
	}
	r.state.feed.Predict(now, r.feedEpoch, r.links)
	if r.store != nil {
		r.store.feed.Predict(now, r.store.feed.View(now).Epoch, r.links)
	}
}

// endPrefill releases the prefill load and updates the speed estimates of the cost model. It
// returns false if the prefill had ended before.
func (r *Reservation) endPrefill(now time.Duration) (ended bool) {
	r.router.mutex.Lock()
	defer r.router.mutex.Unlock()
	r.router.observeTime(now)
	if r.finished || r.firstToken {
		return false
	}
	r.firstToken = true
	r.model.endPrefill(r, now)
	r.endPull()
	r.setLoad(now, replicaload.Load{DecodeTokens: r.load.DecodeTokens, Requests: r.load.Requests})
	return true
}

func (r *Reservation) endPull() {
	if r.pulls {
		r.pull.source.state.pullsServed--
	}
}

// Progress records how many tokens have been generated so far. A number that is not larger
// than the last one is ignored.
func (r *Reservation) Progress(now time.Duration, generated uint32) {
	r.router.mutex.Lock()
	defer r.router.mutex.Unlock()
	r.router.observeTime(now)
	if r.finished || generated <= r.generated {
		return
	}
	target := r.load
	target.DecodeTokens += float64(generated - r.generated)
	r.generated = generated
	r.setLoad(now, target)
}

// Finish records that the attempt has ended, completed or not, and releases its load. Only the
// first call has an effect. After a completed attempt, Finish renews the prediction that the
// replica caches the prompt, unless FirstToken made this prediction and the replica reports
// what it caches.
func (r *Reservation) Finish(now time.Duration, completed bool) {
	if !r.release(now) {
		return
	}
	if !completed {
		r.removePending()
		return
	}
	if r.firstToken && r.state.feed.View(now).ReportsEvents {
		return
	}
	r.state.feed.Predict(now, r.feedEpoch, r.links)
}

// Cancelled replaces Finish for an attempt that the caller has abandoned or that was not run.
// It releases the load and predicts nothing.
func (r *Reservation) Cancelled(now time.Duration) {
	if r.release(now) {
		r.removePending()
	}
}

// release releases the load. It returns false if the load was released before.
func (r *Reservation) release(now time.Duration) bool {
	r.router.mutex.Lock()
	defer r.router.mutex.Unlock()
	r.router.observeTime(now)
	if r.finished {
		return false
	}
	r.finished = true
	if !r.firstToken {
		r.endPull()
		r.model.abandonPrefill(r, now)
	}
	r.setLoad(now, replicaload.Load{})
	return true
}

// addPending records that the chosen replica will cache the prompt, and the store too if the
// chunks are saved. With the block cost model it does nothing.
func (r *Reservation) addPending(now time.Duration) {
	if r.work == nil || r.router.options.Disabled.PendingChunks {
		return
	}
	r.state.feed.AddPending(now, r.links)
	if r.store != nil {
		r.store.feed.AddPending(now, r.links)
	}
}

// removePending removes the pending chunks of a prompt whose prefill did not end.
func (r *Reservation) removePending() {
	if r.work == nil || r.firstToken {
		return
	}
	r.state.feed.RemovePending(r.links)
	if r.store != nil {
		r.store.feed.RemovePending(r.links)
	}
}
