package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Reservation accounts for the load of one attempt on a replica: its prefill
// until the first token, and its memory until the end. It is safe for
// concurrent use, and Finish must be called once the attempt has ended.
type Reservation struct {
	router *Router
	state  *replicaState
	links  []prefixindex.Link
	pull   plannedPull
	pulls  bool
	// feedEpoch is the life of the replica's feed that the attempt belongs to.
	feedEpoch uint64
	// startedAt, computeTokens and backlogTokens tell how long the first token
	// should take.
	startedAt     time.Duration
	computeTokens float64
	backlogTokens float64
	// work, pace and expected are set with an engine profile. Expected is the
	// estimated time to the first event in milliseconds.
	work     *prefillWork
	latency  *latencyModel
	expected float64
	// waited tells that the attempt was held back, so that its time tells
	// nothing of the replica's speed.
	waited bool
	// store is the store that the parts are saved to, or nil.
	store *replicaState

	// The router's lock guards what follows; nothing of it changes once the
	// attempt is finished.
	load       load
	firstToken bool
	finished   bool
	generated  uint32
}

// reserveByBlocks adds the load of a request to the chosen replica. The router's lock
// is held.
func (r *Router) reserveByBlocks(req *Request, chosen *scoredCandidate) *Reservation {
	promptTokens := float64(req.promptTokens)
	compute := promptTokens - float64(chosen.overlap.Likely.Tokens)
	if chosen.pulls {
		compute -= float64(chosen.pull.tokens)
		chosen.pull.source.state.pullsServed++
	}
	reservation := &Reservation{
		router:        r,
		state:         chosen.state,
		links:         chosen.prompt.links,
		pull:          chosen.pull,
		pulls:         chosen.pulls,
		feedEpoch:     chosen.view.epoch,
		startedAt:     req.Now,
		computeTokens: max(0, compute),
		backlogTokens: chosen.backlogTokens,
	}
	reservation.setLoad(req.Now, load{prefillTokens: reservation.computeTokens, decodeTokens: promptTokens, requests: 1})
	return reservation
}

// setLoad changes what the reservation adds to the replica's load.
func (r *Reservation) setLoad(now time.Duration, target load) {
	change := target.plus(r.load.times(-1))
	r.load = target
	r.state.load.local.add(now, r.router.options.ReportUseless, change)
}

// FirstToken says that the replica has sent the first token, so that the prompt
// has been computed. Only the first call counts.
func (r *Reservation) FirstToken(now time.Duration) {
	if !r.endPrefill(now) {
		return
	}
	r.state.feed.predict(now, r.feedEpoch, r.links)
	if r.store != nil {
		r.store.feed.predict(now, r.store.feed.view(now).epoch, r.links)
	}
}

// endPrefill releases the prefill load, and learns from the time it took.
func (r *Reservation) endPrefill(now time.Duration) bool {
	r.router.mutex.Lock()
	defer r.router.mutex.Unlock()
	r.router.observeTime(now)
	if r.finished || r.firstToken {
		return false
	}
	r.firstToken = true
	if r.work != nil {
		r.state.drainBacklog(now)
		r.learnByTime(now)
		r.state.queue.remove(r.work)
	} else {
		r.learnByBlocks(now - r.startedAt)
	}
	r.endPull()
	r.setLoad(now, load{decodeTokens: r.load.decodeTokens, requests: r.load.requests})
	return true
}

// learnByBlocks updates the replica's prefill speed, or the speed of the link when the
// time was spent on a pull as well.
func (r *Reservation) learnByBlocks(took time.Duration) {
	computed := r.backlogTokens + r.computeTokens
	if !r.pulls {
		r.state.speed.learn(computed, took)
		return
	}
	options := &r.router.options
	pulling := took - r.state.speed.timeFor(computed, options)
	r.router.bandwidths.observePull(r.startedAt+took, r.pull.zones, float64(r.pull.tokens), r.pull.sharedWith, pulling, options)
}

func (r *Reservation) endPull() {
	if r.pulls {
		r.pull.source.state.pullsServed--
	}
}

// Progress says how many tokens have been generated so far. Smaller numbers
// than before are ignored.
func (r *Reservation) Progress(now time.Duration, generated uint32) {
	r.router.mutex.Lock()
	defer r.router.mutex.Unlock()
	r.router.observeTime(now)
	if r.finished || generated <= r.generated {
		return
	}
	target := r.load
	target.decodeTokens += float64(generated - r.generated)
	r.generated = generated
	r.setLoad(now, target)
}

// Finish says that the attempt has ended, completed or not, and releases its
// load. Only the first call counts. A completed attempt renews the prediction
// of what the replica keeps, unless the replica reports that itself.
func (r *Reservation) Finish(now time.Duration, completed bool) {
	if !r.release(now) {
		return
	}
	if !completed {
		r.removePending()
		return
	}
	if r.firstToken && r.state.feed.view(now).reportsEvents {
		return
	}
	r.state.feed.predict(now, r.feedEpoch, r.links)
}

// release ends the load, and tells whether it had not ended before.
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
		r.removeFromQueue(now)
	}
	r.setLoad(now, load{})
	return true
}

// removeFromQueue takes the prompt off the replica's queue.
func (r *Reservation) removeFromQueue(now time.Duration) {
	if r.work == nil {
		return
	}
	r.state.drainBacklog(now)
	r.state.queue.remove(r.work)
}

// Cancelled says that the attempt has ended because nobody waits for it any
// more, or that it has not run. Nothing is learnt from it.
func (r *Reservation) Cancelled(now time.Duration) {
	if r.release(now) {
		r.removePending()
	}
}

// removePending takes back that the prompt will be kept, if it was not read.
func (r *Reservation) removePending() {
	if r.work == nil || r.firstToken {
		return
	}
	r.state.feed.removePending(r.links)
	if r.store != nil {
		r.store.feed.removePending(r.links)
	}
}
