package kvrouter

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// mayUse tells whether a candidate may take the request: it is not cold, or the
// caller permits one more request to it.
func (req *Request) mayUse(candidate *Candidate) bool {
	if candidate.SlowStartUntil <= req.Now {
		return true
	}
	return req.SlowStartAllowed != nil && req.SlowStartAllowed(candidate.Address)
}

// dropFull leaves out replicas that are full. When all are, those are left whose
// first event would come within the request's longest wait.
func (s *scratch) dropFull(req *Request) {
	hasCapacity := func(scored scoredCandidate, _ int) bool { return !scored.timeTerms.full }
	withinMaxWait := func(scored scoredCandidate, _ int) bool {
		return fromMilliseconds(scored.timeTerms.delay) <= req.MaxWait
	}
	free := lo.CountBy(s.scored, func(scored scoredCandidate) bool { return !scored.timeTerms.full })
	switch {
	case free == len(s.scored):
		return
	case free > 0:
		s.scored = lo.Filter(s.scored, hasCapacity)
	default:
		s.scored = lo.Filter(s.scored, withinMaxWait)
	}
}

// affinity names what should draw requests to one replica when costs are equal:
// the shared beginning of the prompt.
func (p *prompt) affinity(req *Request) prefixindex.ChainHash {
	if req.Engine == nil || len(p.links) < 2 {
		return p.identity()
	}
	return p.links[len(p.links)-2].Hash
}

// detectReplacements drops all that is known of addresses whose replica has begun a
// new life.
func (r *Router) detectReplacements(now time.Duration, candidates []Candidate) {
	r.mutex.Lock()
	var changed []*replicaState
	for at := range candidates {
		candidate := &candidates[at]
		if candidate.Instance == "" {
			continue
		}
		state := r.stateLocked(now, candidate.Address)
		if state.instance != "" && state.instance != candidate.Instance {
			changed = append(changed, state)
		}
		state.instance = candidate.Instance
	}
	r.mutex.Unlock()
	for _, state := range changed {
		state.feed.handleReplacement()
		r.handleRestart(now, state)
	}
}

// addPending records that the chosen replica, and the store if the parts are saved,
// will keep the prompt.
func (r *Router) addPending(req *Request, decision *Decision) {
	if r.options.Disabled.PendingChunks {
		return
	}
	reservation := decision.Reservation
	reservation.state.feed.addPending(req.Now, reservation.links)
	if reservation.store != nil {
		reservation.store.feed.addPending(req.Now, reservation.links)
	}
}

// reserveByTime adds the load of a request to the chosen replica. The router's
// lock is held.
func (r *Router) reserveByTime(req *Request, chosen *scoredCandidate, saveToStore bool) *Reservation {
	terms := &chosen.timeTerms
	compute := max(0, terms.computeTokens)
	work := &prefillWork{priority: req.Priority, tokens: compute, unread: compute}
	reservation := &Reservation{
		router:        r,
		state:         chosen.state,
		links:         chosen.prompt.links,
		pull:          chosen.pull,
		pulls:         chosen.pulls,
		feedEpoch:     chosen.view.epoch,
		startedAt:     req.Now,
		computeTokens: compute,
		backlogTokens: terms.queuedTokens,
		work:          work,
		latency:       req.latency,
		expected:      terms.delay,
		waited:        chosen.waits,
	}
	if saveToStore {
		reservation.store = r.stateLocked(req.Now, req.Store)
	}
	if chosen.pulls {
		chosen.pull.source.state.pullsServed++
		reservation.reserveLinks(req.Now)
	}
	chosen.state.queue.add(work)
	chosen.state.meanCompute += meanComputeWeight * (compute - chosen.state.meanCompute)
	reservation.setLoad(req.Now, load{prefillTokens: compute, decodeTokens: terms.memoryTokens, requests: 1})
	return reservation
}

// meanComputeWeight is the weight of a new request in the average.
const meanComputeWeight = 0.1

// learnByTime learns from the time to the first event. The router's lock is held.
func (r *Reservation) learnByTime(now time.Duration) {
	if r.waited || r.router.options.Disabled.LearntSpeeds {
		return
	}
	took := milliseconds(now - r.startedAt)
	pull := 0.0
	if r.pulls {
		pull = milliseconds(r.pull.transfer)
	}
	work := r.backlogTokens + r.computeTokens
	usual := r.latency.expected(work)
	excess := took - r.state.slowness.factor()*usual - pull
	if r.pulls && r.observeTransfer(now, pull, excess) {
		return
	}
	read := max(took-pull, 1)
	certainty := (r.computeTokens + 1) / (work + 1)
	ratio := read / max(usual, 1)
	if r.backlogTokens <= r.computeTokens/4 {
		r.latency.learn(work, read)
	}
	r.state.slowness.observe(now, ratio, certainty)
}

// retryAfterByTime estimates when the first replica has room: when it has read a
// good part of what waits there. The router's lock is held.
func (r *Router) retryAfterByTime(req *Request, candidates []Candidate) time.Duration {
	shortest := maxRetryAfter
	for at := range candidates {
		candidate := &candidates[at]
		if req.excludes(candidate.Address) {
			continue
		}
		state := r.stateLocked(req.Now, candidate.Address)
		backlog := r.queuedTokens(req, state)
		delay := state.slowness.factor() * req.latency.expected(backlog)
		wait := max(fromMilliseconds(delay)-req.MaxWait, 0)
		if candidate.SlowStartUntil > req.Now {
			wait = max(wait, candidate.SlowStartUntil-req.Now)
		}
		shortest = min(shortest, wait)
	}
	return max(shortest, minRetryAfter)
}
