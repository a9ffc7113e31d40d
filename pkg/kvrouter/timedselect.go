package kvrouter

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// bears tells whether a candidate may take the request: it is not cold, or the
// caller permits one more request to it.
func (req *Request) bears(candidate *Candidate) bool {
	if candidate.ColdUntil <= req.Now {
		return true
	}
	return req.ColdAllowed != nil && req.ColdAllowed(candidate.Address)
}

// dropFull leaves out replicas that are full. When all are, those are left whose
// first event would come within the request's longest wait.
func (s *scratch) dropFull(req *Request) {
	hasRoom := func(scored scoredCandidate, _ int) bool { return !scored.timed.over }
	bearable := func(scored scoredCandidate, _ int) bool {
		return fromMilliseconds(scored.timed.delay) <= req.MaxWait
	}
	free := lo.CountBy(s.scored, func(scored scoredCandidate) bool { return !scored.timed.over })
	switch {
	case free == len(s.scored):
		return
	case free > 0:
		s.scored = lo.Filter(s.scored, hasRoom)
	default:
		s.scored = lo.Filter(s.scored, bearable)
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

// noticeInstances drops all that is known of addresses whose replica has begun a
// new life.
func (r *Router) noticeInstances(now time.Duration, candidates []Candidate) {
	r.mutex.Lock()
	var changed []*replicaState
	for at := range candidates {
		candidate := &candidates[at]
		if candidate.Instance == "" {
			continue
		}
		state := r.state(now, candidate.Address)
		if state.instance != "" && state.instance != candidate.Instance {
			changed = append(changed, state)
		}
		state.instance = candidate.Instance
	}
	r.mutex.Unlock()
	for _, state := range changed {
		state.feed.replaced()
		r.restarted(now, state)
	}
}

// expect records that the chosen replica, and the store if the parts are saved,
// will keep the prompt.
func (r *Router) expect(req *Request, decision *Decision) {
	if r.options.Off.Expectations {
		return
	}
	reservation := decision.Reservation
	reservation.state.feed.expect(req.Now, reservation.links)
	if reservation.store != nil {
		reservation.store.feed.expect(req.Now, reservation.links)
	}
}

// reserveTimed adds the load of a request to the chosen replica. The router's
// lock is held.
func (r *Router) reserveTimed(req *Request, chosen *scoredCandidate, saves bool) *Reservation {
	terms := &chosen.timed
	compute := max(0, terms.compute)
	work := &prefillWork{priority: req.Priority, tokens: compute, left: compute}
	reservation := &Reservation{
		router:        r,
		state:         chosen.state,
		links:         chosen.prompt.links,
		pull:          chosen.pull,
		pulls:         chosen.pulls,
		life:          chosen.view.life,
		startedAt:     req.Now,
		computeTokens: compute,
		backlogTokens: terms.ahead,
		work:          work,
		pace:          req.pace,
		expected:      terms.delay,
		awaited:       chosen.awaits,
	}
	if saves {
		reservation.store = r.state(req.Now, req.Store)
	}
	if chosen.pulls {
		chosen.pull.source.state.pullsServed++
		reservation.beginMove(req.Now)
	}
	chosen.state.queue.add(work)
	chosen.state.meanCompute += meanComputeWeight * (compute - chosen.state.meanCompute)
	reservation.hold(req.Now, load{prefillTokens: compute, decodeTokens: terms.memory, requests: 1})
	return reservation
}

// meanComputeWeight is the weight of a new request in the average.
const meanComputeWeight = 0.1

// learnTimed learns from the time to the first event. The router's lock is held.
func (r *Reservation) learnTimed(now time.Duration) {
	if r.awaited || r.router.options.Off.LearntSpeeds {
		return
	}
	took := milliseconds(now - r.startedAt)
	pull := 0.0
	if r.pulls {
		pull = milliseconds(r.pull.transfer)
	}
	work := r.backlogTokens + r.computeTokens
	usual := r.pace.expected(work)
	excess := took - r.state.slowness.factor()*usual - pull
	if r.pulls && r.judgeLinks(now, pull, excess) {
		return
	}
	read := max(took-pull, 1)
	certainty := (r.computeTokens + 1) / (work + 1)
	ratio := read / max(usual, 1)
	if r.backlogTokens <= r.computeTokens/4 {
		r.pace.learn(work, read)
	}
	r.state.slowness.observe(now, ratio, certainty)
}

// retryAfterTimed estimates when the first replica has room: when it has read a
// good part of what waits there. The router's lock is held.
func (r *Router) retryAfterTimed(req *Request, candidates []Candidate) time.Duration {
	shortest := mostRetryAfter
	for at := range candidates {
		candidate := &candidates[at]
		if req.excludes(candidate.Address) {
			continue
		}
		state := r.state(req.Now, candidate.Address)
		backlog := r.ahead(req, state)
		delay := state.slowness.factor() * req.pace.expected(backlog)
		wait := max(fromMilliseconds(delay)-req.MaxWait, 0)
		if candidate.ColdUntil > req.Now {
			wait = max(wait, candidate.ColdUntil-req.Now)
		}
		shortest = min(shortest, wait)
	}
	return max(shortest, leastRetryAfter)
}
