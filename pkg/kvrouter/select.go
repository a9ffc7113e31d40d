package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/units"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// defaultRetryAfter is NoReplicaError.RetryAfter when no estimate is available.
	defaultRetryAfter = time.Second
	// minRetryAfter and maxRetryAfter bound an estimated RetryAfter.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// scoredCandidate is a candidate that may take the request, with its cost.
type scoredCandidate struct {
	candidate *Candidate
	state     *replicaState
	prompt    *prompt
	// view is the state of the replica's feed at the time of the selection.
	view cachefeed.View
	// overlap is the part of the prompt that the replica caches when the request arrives,
	// after the wait if waits is set.
	overlap prefixindex.Overlap
	// pull is valid only if pulls is set.
	pull  plannedPull
	pulls bool
	// waits reports whether the replica will cache the overlap only after a PrefixWait.
	waits bool
	// backlogTokens is the number of tokens of other prompts that the replica computes
	// before this prompt.
	backlogTokens  float64
	activeRequests float64
	// cost is in blocks.
	cost float64
	// timeTerms is set by the time cost model.
	timeTerms timeTerms
}

// Select chooses the replica for a request and reserves the request's load on it. It returns
// a *NoReplicaError if no candidate can take the request. The caller must end the decision's
// reservation with Finish or Cancelled. Select looks up the prompt without the router's lock,
// so that the overlaps may be older than the state of the feeds, which is read afterwards.
func (r *Router) Select(request Request, candidates []Candidate) (Decision, error) {
	if len(candidates) == 0 {
		return Decision{}, &NoReplicaError{Reason: NoCandidates, RetryAfter: defaultRetryAfter}
	}
	s := r.scratchPool.Get().(*scratch)
	defer r.releaseScratch(s)
	req := s.start(request)
	req.countTokens()
	if req.Engine != nil {
		profile := req.Engine.withDefaults(&r.options)
		req.Engine = &profile
		req.Priority = min(req.Priority, replicaload.Priorities-1)
		r.detectReplacements(req.Now, candidates)
	}
	r.lookUp(s, req, candidates)
	decision, err := r.chooseAndReserve(s, req, candidates)
	if err == nil {
		decision.Reservation.addPending(req.Now)
	}
	return decision, err
}

// detectReplacements finds the addresses whose candidate has another instance than in earlier
// selections, and discards the state that belongs to the former process.
func (r *Router) detectReplacements(now time.Duration, candidates []Candidate) {
	r.mutex.Lock()
	var replaced []*replicaState
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Instance == "" {
			continue
		}
		state := r.replicas.state(now, candidate.Address)
		if state.instance != "" && state.instance != candidate.Instance {
			replaced = append(replaced, state)
		}
		state.instance = candidate.Instance
	}
	r.mutex.Unlock()
	for _, state := range replaced {
		state.feed.HandleReplacement()
		r.handleRestart(now, state)
	}
}

// chooseAndReserve lets the request's cost model choose a candidate and reserves the request's
// load on it, under the router's lock.
func (r *Router) chooseAndReserve(s *scratch, req *Request, candidates []Candidate) (Decision, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observeTime(req.Now)
	model := r.costModelOf(req)
	chosen, err := model.choose(s, req, candidates)
	if err != nil {
		return Decision{}, err
	}
	reservation := r.newReservation(model, req, chosen)
	wait := model.reserve(reservation, req, chosen)
	decision := Decision{
		Address:       chosen.candidate.Address,
		Instance:      chosen.candidate.Instance,
		WeightVersion: chosen.candidate.WeightVersion,
		CacheSalt:     chosen.prompt.salt,
		OverlapTokens: chosen.overlap.Likely.Tokens,
		PromptTokens:  req.promptTokens,
		Cost:          chosen.cost,
		Save:          reservation.store != nil,
		Wait:          wait,
		ExpectedDelay: units.FromMilliseconds(chosen.timeTerms.delay),
		Reservation:   reservation,
	}
	if chosen.pulls {
		decision.Pull = chosen.pull.pull()
	}
	return decision, nil
}
