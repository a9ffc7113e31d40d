package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/speed"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Reservation accounts for the load of one attempt on a replica: its prefill
// until the first token, and its memory until the end. It is safe for
// concurrent use, and Finish must be called once the attempt has ended.
type Reservation struct {
	router *Router
	// model is the cost model that chose the replica.
	model costModel
	state *replicaState
	links []prefixindex.Link
	// pull is meaningful if pulls is set.
	pull  plannedPull
	pulls bool
	// feedEpoch is the epoch of the replica's feed that the attempt belongs to.
	feedEpoch uint64
	// startedAt is the time of the selection. With it, computeTokens, the tokens of the
	// prompt that the replica has to compute, and backlogTokens, those of other prompts
	// that it computes before, the cost model learns from the time to the first token.
	startedAt     time.Duration
	computeTokens float64
	backlogTokens float64

	// The fields below are set by the time cost model, and zero with the block one.

	// work is the prompt in the replica's queue, until the first token.
	work *replicaload.PrefillWork
	// latency is that of the pool, to learn from the first token.
	latency *speed.Latency
	// waited says that the attempt was held back by a PrefixWait, so that its time
	// tells nothing of the replica's speed.
	waited bool
	// store is the store that the chunks are saved to, or nil.
	store *replicaState

	// The router's lock guards the fields below. They don't change once the attempt
	// is finished.

	load       replicaload.Load
	firstToken bool
	finished   bool
	generated  uint32
}

// newReservation returns a reservation without load, which the cost model adds.
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

// setLoad changes what the reservation adds to the replica's load. The caller holds
// the router's lock.
func (r *Reservation) setLoad(now time.Duration, target replicaload.Load) {
	change := target.Plus(r.load.Times(-1))
	r.load = target
	r.state.load.ChangeLocal(now, change)
}

// FirstToken records that the replica has sent the first token, so that the prompt
// has been computed. Only the first call counts.
func (r *Reservation) FirstToken(now time.Duration) {
	if !r.endPrefill(now) {
		return
	}
	r.state.feed.Predict(now, r.feedEpoch, r.links)
	if r.store != nil {
		r.store.feed.Predict(now, r.store.feed.View(now).Epoch, r.links)
	}
}

// endPrefill releases the prefill load, and learns from the time it took.
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

// Progress records how many tokens have been generated so far. Smaller numbers
// than before are ignored.
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

// Finish records that the attempt has ended, completed or not, and releases its
// load. Only the first call counts. A completed attempt renews the prediction of what
// the replica caches, unless FirstToken has predicted it and the replica reports it
// itself by now.
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

// Cancelled is Finish for an attempt that nobody waits for any more, or that has not
// run. Nothing is learned from it.
func (r *Reservation) Cancelled(now time.Duration) {
	if r.release(now) {
		r.removePending()
	}
}

// release ends the load, and reports whether it had not ended before.
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

// addPending records that the chosen replica, and the store if the chunks are
// saved, will cache the prompt.
func (r *Reservation) addPending(now time.Duration) {
	if r.work == nil || r.router.options.Disabled.PendingChunks {
		return
	}
	r.state.feed.AddPending(now, r.links)
	if r.store != nil {
		r.store.feed.AddPending(now, r.links)
	}
}

// removePending withdraws the pending chunks of a prompt that was not computed.
func (r *Reservation) removePending() {
	if r.work == nil || r.firstToken {
		return
	}
	r.state.feed.RemovePending(r.links)
	if r.store != nil {
		r.store.feed.RemovePending(r.links)
	}
}
