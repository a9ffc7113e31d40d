package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// defaultRetryAfter is when to come back if nothing tells better.
	defaultRetryAfter = time.Second
	// minRetryAfter and maxRetryAfter bound the advice to callers.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// scoredCandidate is a candidate that may take the request, with its cost.
type scoredCandidate struct {
	candidate *Candidate
	state     *replicaState
	prompt    *prompt
	view      feedView
	overlap   prefixindex.Overlap
	pull      plannedPull
	pulls     bool
	// waits tells that the overlap is there only after a wait.
	waits          bool
	backlogTokens  float64
	activeRequests float64
	cost           float64
	// timeTerms is used with an engine profile.
	timeTerms timeTerms
}

// Select chooses the replica for a request and reserves its load. It returns a
// *NoReplicaError when no candidate can take the request. The caller must end
// the reservation of the decision with Finish.
func (r *Router) Select(req Request, candidates []Candidate) (Decision, error) {
	if len(candidates) == 0 {
		return Decision{}, &NoReplicaError{Reason: NoCandidates, RetryAfter: defaultRetryAfter}
	}
	s := r.scratchPool.Get().(*scratch)
	defer r.scratchPool.Put(s)
	s.reset()
	req.countTokens()
	if req.Engine != nil {
		profile := req.Engine.withDefaults(&r.options)
		req.Engine = &profile
		req.Priority = min(req.Priority, Priorities-1)
		r.detectReplacements(req.Now, candidates)
	}
	r.lookUp(s, &req, candidates)
	decision, err := r.scoreAndDecide(s, &req, candidates)
	if err == nil && req.Engine != nil {
		r.addPending(&req, &decision)
	}
	return decision, err
}

// scoreAndDecide takes the router's lock for the choice.
func (r *Router) scoreAndDecide(s *scratch, req *Request, candidates []Candidate) (Decision, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observeTime(req.Now)
	if req.Engine != nil {
		req.latency = r.latencyModelOf(req.Model, req.Engine)
	}
	r.gatherSources(s, req, candidates)
	if req.Engine != nil {
		r.setHarmWeight(s, req, candidates)
	}
	allowed := r.score(s, req, candidates)
	if allowed == 0 {
		return Decision{}, &NoReplicaError{Reason: AllExcluded, RetryAfter: defaultRetryAfter}
	}
	if req.Engine != nil {
		s.dropFull(req)
	}
	if len(s.scored) == 0 {
		return Decision{}, &NoReplicaError{Reason: AllBusy, RetryAfter: r.retryAfter(req, candidates)}
	}
	at := choose(req.Settings, s.scored, s.scored[0].prompt.affinity(req), req.Random)
	return r.decide(req, &s.scored[at]), nil
}

// score fills in the candidates that may take the request, and returns how
// many it is not kept from.
func (r *Router) score(s *scratch, req *Request, candidates []Candidate) (allowed int) {
	for at := range candidates {
		candidate := &candidates[at]
		if req.excludes(candidate.Address) {
			continue
		}
		allowed++
		state := r.stateLocked(req.Now, candidate.Address)
		if req.Engine != nil {
			if req.mayUse(candidate) {
				s.scored = append(s.scored, r.scoreByTime(req, candidate, state, s.prompt(candidate.WeightVersion)))
			}
			continue
		}
		if r.busy(req, state) || r.atSlowStartLimit(req, state) {
			continue
		}
		s.scored = append(s.scored, r.scoreByBlocks(req, candidate, state, s.prompt(candidate.WeightVersion)))
	}
	return allowed
}

// busy tells whether a replica has reached the busy threshold.
func (r *Router) busy(req *Request, state *replicaState) bool {
	if req.Settings.BusyThresholdBlocks <= 0 {
		return false
	}
	active := r.blocks(state.load.total(req.Now, &r.options))
	return active.PrefillBlocks+active.DecodeBlocks >= req.Settings.BusyThresholdBlocks
}

// atSlowStartLimit tells whether a replica has as many reservations as its slow start
// allows.
func (r *Router) atSlowStartLimit(req *Request, state *replicaState) bool {
	return state.load.local.present.requests >= float64(state.slowStart.limit(req.Now, &r.options))
}

func (r *Router) scoreByBlocks(req *Request, candidate *Candidate, state *replicaState, p *prompt) scoredCandidate {
	scored := scoredCandidate{
		candidate: candidate,
		state:     state,
		prompt:    p,
		view:      state.feed.view(req.Now),
		overlap:   p.overlaps.Of(state.owner),
	}
	scored.pull, scored.pulls = r.planPullByBlocks(req, p, state, candidate.Zone, scored.overlap.Likely)
	total := state.load.total(req.Now, &r.options)
	active := r.blocks(total)
	scored.backlogTokens = total.prefillTokens
	scored.activeRequests = active.ActiveRequests
	scored.cost = blockCost(req.Settings, blockCostInputs{
		activePrefill:  active.PrefillBlocks,
		incomingPrompt: r.tokensToBlocks(req.promptTokens),
		overlapCredit:  r.credit(req.Settings, &scored),
		activeDecode:   active.DecodeBlocks,
		incomingDecode: r.tokensToBlocks(req.promptTokens) + r.tokensToBlocks(req.OutputTokens),
		activeRequests: active.ActiveRequests,
	})
	return scored
}

// credit returns the blocks that the replica need not compute, each weighted by
// how sure and how near it is.
func (r *Router) credit(settings Settings, scored *scoredCandidate) float64 {
	certain := r.tokensToBlocks(scored.overlap.Reported.Tokens)
	guessed := r.tokensToBlocks(scored.overlap.Likely.Tokens) - certain
	if scored.view.uncertain {
		guessed += certain
		certain = 0
	}
	credit := settings.LocalCredit * (certain + r.options.GuessCredit*guessed)
	if scored.pulls {
		credit += scored.pull.credit(settings) * r.tokensToBlocks(scored.pull.tokens)
	}
	return credit
}

func (r *Router) tokensToBlocks(tokens uint32) float64 {
	return float64(tokens) / float64(r.options.BlockTokens)
}

// decide turns the chosen candidate into a decision, and reserves its load.
func (r *Router) decide(req *Request, chosen *scoredCandidate) Decision {
	decision := Decision{
		Address:       chosen.candidate.Address,
		Instance:      chosen.candidate.Instance,
		WeightVersion: chosen.candidate.WeightVersion,
		CacheSalt:     chosen.prompt.salt,
		OverlapTokens: chosen.overlap.Likely.Tokens,
		PromptTokens:  req.promptTokens,
		Cost:          chosen.cost,
	}
	if chosen.pulls {
		decision.Pull = chosen.pull.pull()
	}
	if req.Engine != nil {
		decision.ExpectedDelay = fromMilliseconds(chosen.timeTerms.delay)
		decision.Save = r.shouldSave(req, chosen.prompt)
		decision.Wait = r.prefixWait(req, chosen)
		decision.Reservation = r.reserveByTime(req, chosen, decision.Save)
		return decision
	}
	decision.Reservation = r.reserveByBlocks(req, chosen)
	return decision
}

// retryAfter estimates when the first of the candidates has worked off its
// prefill.
func (r *Router) retryAfter(req *Request, candidates []Candidate) time.Duration {
	if req.Engine != nil {
		return r.retryAfterByTime(req, candidates)
	}
	shortest := maxRetryAfter
	for at := range candidates {
		if req.excludes(candidates[at].Address) {
			continue
		}
		state := r.stateLocked(req.Now, candidates[at].Address)
		backlog := state.load.total(req.Now, &r.options).prefillTokens
		shortest = min(shortest, state.speed.timeFor(backlog, &r.options))
	}
	return max(shortest, minRetryAfter)
}
