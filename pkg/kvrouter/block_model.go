package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/speed"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
)

// blockModel is the costModel of pools without an engine profile. It estimates costs
// in blocks.
type blockModel struct {
	options    *Options
	replicas   *registry
	bandwidths *speed.Bandwidths
}

func (m *blockModel) choose(s *scratch, req *Request, candidates []Candidate) (*scoredCandidate, error) {
	m.gatherSources(s, req, candidates)
	allowed := m.score(s, req, candidates)
	if allowed == 0 {
		return nil, &NoReplicaError{Reason: AllExcluded, RetryAfter: defaultRetryAfter}
	}
	if len(s.scored) == 0 {
		return nil, &NoReplicaError{Reason: AllBusy, RetryAfter: m.retryAfter(req, candidates)}
	}
	return &s.scored[chooseScored(req, s.scored, s.scored[0].prompt.identity())], nil
}

// score appends the candidates that may take the request to s.scored, and returns the number
// of candidates that the request does not exclude.
func (m *blockModel) score(s *scratch, req *Request, candidates []Candidate) (allowed int) {
	for i := range candidates {
		candidate := &candidates[i]
		if req.excludes(candidate.Address) {
			continue
		}
		allowed++
		state := m.replicas.state(req.Now, candidate.Address)
		if m.busy(req, state) || m.atSlowStartLimit(req, state) {
			continue
		}
		s.scored = append(s.scored, m.scoreOne(req, candidate, state, s.prompt(candidate.WeightVersion)))
	}
	return allowed
}

// busy reports whether a replica has reached the busy threshold.
func (m *blockModel) busy(req *Request, state *replicaState) bool {
	if req.Settings.BusyThresholdBlocks <= 0 {
		return false
	}
	active := m.options.blocks(state.load.Reported(req.Now))
	return active.PrefillBlocks+active.DecodeBlocks >= req.Settings.BusyThresholdBlocks
}

// atSlowStartLimit reports whether a replica has reached the limit of reservations of its
// slow start.
func (m *blockModel) atSlowStartLimit(req *Request, state *replicaState) bool {
	return state.load.Local().Requests >= float64(state.slowStart.limit(req.Now, m.options))
}

func (m *blockModel) scoreOne(req *Request, candidate *Candidate, state *replicaState, p *prompt) scoredCandidate {
	scored := scoredCandidate{
		candidate: candidate,
		state:     state,
		prompt:    p,
		view:      state.feed.View(req.Now),
		overlap:   p.overlaps.Of(state.owner),
	}
	scored.pull, scored.pulls = m.planPull(req, p, state, candidate.Zone, scored.overlap.Likely)
	total := state.load.Reported(req.Now)
	active := m.options.blocks(total)
	scored.backlogTokens = total.PrefillTokens
	scored.activeRequests = active.ActiveRequests
	scored.cost = blockCost(&req.Settings, blockCostInputs{
		activePrefill:  active.PrefillBlocks,
		incomingPrompt: m.options.tokensToBlocks(req.promptTokens),
		overlapCredit:  m.credit(&req.Settings, &scored),
		activeDecode:   active.DecodeBlocks,
		incomingDecode: m.options.tokensToBlocks(req.promptTokens) + m.options.tokensToBlocks(req.OutputTokens),
		activeRequests: active.ActiveRequests,
	})
	return scored
}

// credit returns the number of blocks that the replica need not compute, each weighted by
// whether it is certainly cached, and by whether the replica caches it or pulls it.
func (m *blockModel) credit(settings *Settings, scored *scoredCandidate) float64 {
	certain := m.options.tokensToBlocks(scored.overlap.Reported.Tokens)
	uncertain := m.options.tokensToBlocks(scored.overlap.Likely.Tokens) - certain
	if scored.view.Uncertain {
		uncertain += certain
		certain = 0
	}
	credit := settings.LocalCredit * (certain + m.options.GuessCredit*uncertain)
	if scored.pulls {
		credit += scored.pull.credit(settings) * m.options.tokensToBlocks(scored.pull.tokens)
	}
	return credit
}

// blockCostInputs are the terms of the cost of one replica, in blocks.
type blockCostInputs struct {
	activePrefill  float64
	incomingPrompt float64
	overlapCredit  float64
	activeDecode   float64
	incomingDecode float64
	activeRequests float64
}

// blockCost returns the cost of a request on a replica, in blocks: the prefill that remains
// after the credit for cached chunks, the memory that the active requests and this one
// occupy, and a fixed cost per active request.
func blockCost(settings *Settings, inputs blockCostInputs) float64 {
	prefill := max(0, inputs.activePrefill+inputs.incomingPrompt-inputs.overlapCredit)
	potentialDecode := inputs.activeDecode + inputs.incomingDecode
	return settings.PrefillLoadScale*prefill +
		potentialDecode +
		settings.RequestWeight*inputs.activeRequests
}

// retryAfter estimates the shortest time in which one of the candidates computes all prompts
// that are queued on it, within minRetryAfter and maxRetryAfter.
func (m *blockModel) retryAfter(req *Request, candidates []Candidate) time.Duration {
	shortest := maxRetryAfter
	for i := range candidates {
		if req.excludes(candidates[i].Address) {
			continue
		}
		state := m.replicas.state(req.Now, candidates[i].Address)
		backlog := state.load.Reported(req.Now).PrefillTokens
		shortest = min(shortest, state.prefillSpeed.TimeFor(backlog, m.options.PrefillTokensPerSecond))
	}
	return max(shortest, minRetryAfter)
}

func (m *blockModel) reserve(reservation *Reservation, req *Request, chosen *scoredCandidate) *PrefixWait {
	promptTokens := float64(req.promptTokens)
	compute := promptTokens - float64(chosen.overlap.Likely.Tokens)
	if chosen.pulls {
		compute -= float64(chosen.pull.tokens)
		chosen.pull.source.state.pullsServed++
	}
	reservation.computeTokens = max(0, compute)
	reservation.setLoad(req.Now, replicaload.Load{
		PrefillTokens: reservation.computeTokens,
		DecodeTokens:  promptTokens,
		Requests:      1,
	})
	return nil
}

// endPrefill updates the replica's prefill speed from the time to the first token. If part of
// that time was spent on a pull, it updates the bandwidth of the link instead.
func (m *blockModel) endPrefill(r *Reservation, now time.Duration) {
	took := now - r.startedAt
	computed := r.backlogTokens + r.computeTokens
	if !r.pulls {
		r.state.prefillSpeed.Observe(computed, took)
		return
	}
	pulling := took - r.state.prefillSpeed.TimeFor(computed, m.options.PrefillTokensPerSecond)
	bytes := float64(r.pull.tokens) * m.options.BytesPerToken
	m.bandwidths.ObserveTransfer(now, r.pull.zones, bytes, r.pull.sharedWith, pulling)
}

// abandonPrefill does nothing: the block cost model keeps no prefill state beside the
// reservation's load, which the caller releases.
func (m *blockModel) abandonPrefill(*Reservation, time.Duration) {}
