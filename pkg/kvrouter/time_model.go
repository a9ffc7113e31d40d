package kvrouter

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/speed"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/units"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// maxLatencies is the largest number of models whose latency is stored. A further model
	// discards all stored latencies, which are then learned again.
	maxLatencies = 64
	// meanComputeWeight is the weight of a new request in the moving average
	// replicaState.meanCompute.
	meanComputeWeight = 0.1
)

// timeModel is the costModel of pools with an engine profile. It estimates costs as time at
// the replica.
type timeModel struct {
	options  *Options
	replicas *registry
	// index and pending are the indexes of the router. PrefixWait uses them.
	index, pending *prefixindex.Index
	// latencies contains the learned latency of the replicas of each model.
	latencies    map[string]*speed.Latency
	recentHashes recentHashes
}

func (m *timeModel) choose(s *scratch, req *Request, candidates []Candidate) (*scoredCandidate, error) {
	req.latency = m.latencyOf(req.Model, req.Engine)
	m.gatherSources(s, req, candidates)
	m.setHarmWeight(s, req, candidates)
	allowed := m.score(s, req, candidates)
	if allowed == 0 {
		return nil, &NoReplicaError{Reason: AllExcluded, RetryAfter: defaultRetryAfter}
	}
	s.dropFull(req)
	if len(s.scored) == 0 {
		return nil, &NoReplicaError{Reason: AllBusy, RetryAfter: m.retryAfter(req, candidates)}
	}
	return &s.scored[chooseScored(req, s.scored, s.scored[0].prompt.affinity())], nil
}

// latencyOf returns the learned latency of a model's replicas.
func (m *timeModel) latencyOf(model string, profile *EngineProfile) *speed.Latency {
	learned, present := m.latencies[model]
	if present {
		return learned
	}
	if len(m.latencies) >= maxLatencies {
		clear(m.latencies)
	}
	created := speed.NewLatency(units.Milliseconds(profile.FirstEvent), 1/profile.PrefillTokensPerMillisecond)
	m.latencies[model] = created
	return created
}

// score appends the candidates that may take the request to s.scored, and returns the number
// of candidates that the request does not exclude.
func (m *timeModel) score(s *scratch, req *Request, candidates []Candidate) (allowed int) {
	for i := range candidates {
		candidate := &candidates[i]
		if req.excludes(candidate.Address) {
			continue
		}
		allowed++
		state := m.replicas.state(req.Now, candidate.Address)
		if req.slowStartAllows(candidate) {
			s.scored = append(s.scored, m.scoreOne(req, candidate, state, s.prompt(candidate.WeightVersion)))
		}
	}
	return allowed
}

// slowStartAllows reports whether a candidate is not in slow start, or the caller
// permits one more request to it.
func (req *Request) slowStartAllows(candidate *Candidate) bool {
	if candidate.SlowStartUntil <= req.Now {
		return true
	}
	return req.SlowStartAllowed != nil && req.SlowStartAllowed(candidate.Address)
}

// dropFull removes the scored replicas that are full. If all are full, it keeps those whose
// first event is expected within MaxWait.
func (s *scratch) dropFull(req *Request) {
	hasCapacity := func(scored scoredCandidate, _ int) bool { return !scored.timeTerms.full }
	withinMaxWait := func(scored scoredCandidate, _ int) bool {
		return units.FromMilliseconds(scored.timeTerms.delay) <= req.MaxWait
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

func (m *timeModel) reserve(reservation *Reservation, req *Request, chosen *scoredCandidate) *PrefixWait {
	reservation.computeTokens = max(0, chosen.timeTerms.computeTokens)
	reservation.latency = req.latency
	reservation.waited = chosen.waits
	if m.shouldSave(req, chosen.prompt) {
		reservation.store = m.replicas.state(req.Now, req.Store)
	}
	if chosen.pulls {
		chosen.pull.source.state.pullsServed++
		end := req.Now + chosen.pull.transferTime
		chosen.pull.source.state.transferLink.ReserveUntil(end)
		chosen.state.transferLink.ReserveUntil(end)
	}
	state := chosen.state
	reservation.work = state.load.AddPrefill(req.Priority, reservation.computeTokens)
	state.meanCompute += meanComputeWeight * (reservation.computeTokens - state.meanCompute)
	reservation.setLoad(req.Now, replicaload.Load{
		PrefillTokens: reservation.computeTokens,
		DecodeTokens:  chosen.timeTerms.memoryTokens,
		Requests:      1,
	})
	return m.prefixWait(req, chosen)
}

func (m *timeModel) endPrefill(r *Reservation, now time.Duration) {
	r.state.drainBacklog(now)
	m.learn(r, now)
	r.state.load.RemovePrefill(r.work)
}

func (m *timeModel) abandonPrefill(r *Reservation, now time.Duration) {
	r.state.drainBacklog(now)
	r.state.load.RemovePrefill(r.work)
}

// learn updates the latency of the model's replicas, the slowness of this replica, and the
// transfer links of both ends of a pull, from the time to the first event. After a late pull it
// updates only the links, since the time does not show the replica's speed. The latency is
// updated only by requests with little queued before them, since the backlog is itself an
// estimate.
func (m *timeModel) learn(r *Reservation, now time.Duration) {
	if r.waited || m.options.Disabled.LearnedSpeeds {
		return
	}
	took := units.Milliseconds(now - r.startedAt)
	pull := 0.0
	if r.pulls {
		pull = units.Milliseconds(r.pull.transferTime)
	}
	work := r.backlogTokens + r.computeTokens
	usual := r.latency.Expected(work)
	excess := took - r.state.slowness.Factor()*usual - pull
	if r.pulls && speed.ObserveTransfer(now, &r.pull.source.state.transferLink, &r.state.transferLink, pull, excess) {
		return
	}
	prefill := max(took-pull, 1)
	certainty := (r.computeTokens + 1) / (work + 1)
	ratio := prefill / max(usual, 1)
	if r.backlogTokens <= r.computeTokens/4 {
		r.latency.Observe(work, prefill)
	}
	r.state.slowness.Observe(now, ratio, certainty)
}

// retryAfter estimates the shortest time until one of the candidates can take the request. A
// candidate can take it when its remaining backlog delays the request by no more than MaxWait
// and its slow start has ended. The result is within minRetryAfter and maxRetryAfter.
func (m *timeModel) retryAfter(req *Request, candidates []Candidate) time.Duration {
	shortest := maxRetryAfter
	for i := range candidates {
		candidate := &candidates[i]
		if req.excludes(candidate.Address) {
			continue
		}
		state := m.replicas.state(req.Now, candidate.Address)
		backlog := m.queuedTokens(req, state)
		delay := state.slowness.Factor() * req.latency.Expected(backlog)
		wait := max(units.FromMilliseconds(delay)-req.MaxWait, 0)
		if candidate.SlowStartUntil > req.Now {
			wait = max(wait, candidate.SlowStartUntil-req.Now)
		}
		shortest = min(shortest, wait)
	}
	return max(shortest, minRetryAfter)
}
