package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/units"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/kvevents"
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
	view      kvevents.View
	overlap   prefixindex.Overlap
	pull      plannedPull
	pulls     bool
	// waits says that the overlap is there only after a wait.
	waits          bool
	backlogTokens  float64
	activeRequests float64
	// cost is in blocks.
	cost float64
	// timeTerms is set by the time cost model.
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
		req.Priority = min(req.Priority, replicaload.Priorities-1)
		r.detectReplacements(req.Now, candidates)
	}
	r.lookUp(s, &req, candidates)
	decision, err := r.chooseAndReserve(s, &req, candidates)
	if err == nil && req.Engine != nil {
		r.addPending(&req, &decision)
	}
	return decision, err
}

// detectReplacements discards the state of addresses whose replica is another
// instance than the last one.
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
// reserves its load, under the router's lock. It is the only place where requests
// with and without an engine profile part. The models are called directly: behind
// an interface the request would escape to the heap.
func (r *Router) chooseAndReserve(s *scratch, req *Request, candidates []Candidate) (Decision, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observeTime(req.Now)
	if req.Engine == nil {
		chosen, err := r.blockModel.choose(s, req, candidates)
		if err != nil {
			return Decision{}, err
		}
		decision := newDecision(req, chosen)
		decision.Reservation = r.reserveByBlocks(req, chosen)
		return decision, nil
	}
	chosen, err := r.timeModel.choose(s, req, candidates)
	if err != nil {
		return Decision{}, err
	}
	decision := newDecision(req, chosen)
	decision.ExpectedDelay = units.FromMilliseconds(chosen.timeTerms.delay)
	decision.Save = r.timeModel.shouldSave(req, chosen.prompt)
	decision.Wait = r.timeModel.prefixWait(req, chosen)
	decision.Reservation = r.reserveByTime(req, chosen, decision.Save)
	return decision, nil
}

// newDecision returns the decision for a candidate, but for its reservation.
func newDecision(req *Request, chosen *scoredCandidate) Decision {
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
	return decision
}

// addPending records that the chosen replica, and the store if the chunks are
// saved, will cache the prompt.
func (r *Router) addPending(req *Request, decision *Decision) {
	if r.options.Disabled.PendingChunks {
		return
	}
	reservation := decision.Reservation
	reservation.state.feed.AddPending(req.Now, reservation.links)
	if reservation.store != nil {
		reservation.store.feed.AddPending(req.Now, reservation.links)
	}
}
