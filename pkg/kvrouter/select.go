package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/units"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// defaultRetryAfter is the advice to callers when no estimate is available.
	defaultRetryAfter = time.Second
	// minRetryAfter and maxRetryAfter bound the advice.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// scoredCandidate is a candidate that may take the request, with its cost.
type scoredCandidate struct {
	candidate *Candidate
	state     *replicaState
	prompt    *prompt
	// view is the replica's feed as of the selection.
	view cachefeed.View
	// overlap is what the replica caches of the prompt when the request arrives there,
	// after the wait if waits is set.
	overlap prefixindex.Overlap
	// pull is meaningful if pulls is set.
	pull  plannedPull
	pulls bool
	// waits says that the overlap is there only after a PrefixWait.
	waits bool
	// backlogTokens are the tokens of other prompts that the replica computes before
	// this one.
	backlogTokens  float64
	activeRequests float64
	// cost is in blocks.
	cost float64
	// timeTerms is set by the time cost model.
	timeTerms timeTerms
}

// Select chooses the replica for a request and reserves its load. It returns a
// *NoReplicaError when no candidate can take the request. The caller must end
// the reservation of the decision with Finish. The prompt is looked up without the
// router's lock, so what it finds may be older than the feeds that are read after.
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

// detectReplacements discards what is true of one process of a replica only, for the
// addresses whose replica is another instance than the last one.
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

// chooseAndReserve has the cost model of the request choose a candidate, and
// reserves its load, under the router's lock.
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
