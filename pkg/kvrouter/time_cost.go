package kvrouter

import (
	"math"
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/units"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// slowStartSlowdown is the factor by which a replica in slow start is assumed to be
	// slower.
	slowStartSlowdown = 1.5
	// preemptionMemoryFraction is the fraction of memory in use above which replicas preempt
	// requests.
	preemptionMemoryFraction = 0.97
	// overlapMemoryFraction is the assumed fraction of a cached overlap that a request adds
	// to the memory in use; other requests may occupy the rest already.
	overlapMemoryFraction = 0.5
	// outputUseFraction is the assumed fraction of OutputTokens that a request generates.
	outputUseFraction = 0.5
	// maxHarmWeight is the largest value to which a backlog raises Request.harmWeight.
	maxHarmWeight = 16
)

// timeTerms are the terms of the cost of a request on one replica.
type timeTerms struct {
	// computeTokens is the number of prompt tokens that the replica has to compute.
	// queuedTokens is the number of tokens of other prompts that it computes before, weighted
	// by priority.
	computeTokens, queuedTokens float64
	// slowness is the replica's time for a prefill relative to the average of its pool.
	slowness float64
	// pull is the estimated time of the pull and delay the expected time to the first event,
	// both in milliseconds.
	pull, delay float64
	// memoryTokens is the number of tokens that the request adds to the memory in use.
	memoryTokens float64
	// price is the cost of the transfer, of another zone and of SpreadTime, in milliseconds.
	price float64
	// full reports whether the replica's slots or memory are full or its blocks exceed the
	// busy threshold.
	full bool
}

// setHarmWeight sets the request's weight of congestion, the delay that its prefill causes to
// the requests queued behind it. The weight grows with the median backlog of the candidates:
// as long as half of the candidates are idle, hardly any request waits for this prefill.
func (m *timeModel) setHarmWeight(s *scratch, req *Request, candidates []Candidate) {
	req.harmWeight = req.Settings.HarmWeight
	if req.Settings.HarmTime <= 0 || len(candidates) == 0 {
		return
	}
	s.backlogs = s.backlogs[:0]
	for i := range candidates {
		state := m.replicas.state(req.Now, candidates[i].Address)
		state.perToken = req.latency.PerToken()
		state.drainBacklog(req.Now)
		s.backlogs = append(s.backlogs, state.load.RemainingPrefill())
	}
	slices.Sort(s.backlogs)
	backlog := s.backlogs[(len(s.backlogs)-1)/2] * req.latency.PerToken()
	req.harmWeight = min(req.Settings.HarmWeight*(1+backlog/req.Settings.HarmTime), max(maxHarmWeight, req.Settings.HarmWeight))
}

// scoreOne estimates the cost of the request on a replica. The unit is the time that an average
// replica of the pool takes to compute one block.
func (m *timeModel) scoreOne(req *Request, candidate *Candidate, state *replicaState, p *prompt) scoredCandidate {
	scored := scoredCandidate{
		candidate: candidate,
		state:     state,
		prompt:    p,
		view:      state.feed.View(req.Now),
		overlap:   p.overlaps.Of(state.owner),
	}
	state.perToken = req.latency.PerToken()
	state.drainBacklog(req.Now)
	terms := &scored.timeTerms
	terms.slowness = state.slowness.Factor()
	if candidate.SlowStartUntil > req.Now {
		terms.slowness *= slowStartSlowdown
	}
	terms.queuedTokens = m.queuedTokens(req, state)
	if planned, beneficial := m.planWait(p, state, scored.overlap.Likely, terms.queuedTokens); beneficial {
		scored.waits = true
		scored.overlap.Likely = planned.extent
		terms.queuedTokens = planned.backlog
	}
	if m.options.Disabled.Overlap {
		scored.overlap = prefixindex.Overlap{}
	}
	cached := scored.overlap.Likely
	terms.computeTokens = float64(req.promptTokens) - float64(cached.Tokens)
	scored.pull, scored.pulls = m.planPull(req, p, state, candidate, cached, terms.slowness)
	if scored.pulls {
		terms.computeTokens -= float64(scored.pull.tokens) * retainedFraction(req, state)
		terms.pull = units.Milliseconds(scored.pull.transferTime)
		terms.price = scored.pull.price
	}
	if req.Zone != "" && req.Zone != candidate.Zone {
		terms.price += req.zonePrice()
	}
	if spread := req.Settings.SpreadTime; spread > 0 {
		terms.price += spread * preference(m.options.Name, candidate.Address, p.identity())
	}
	active := state.load.Active(req.Now)
	m.addDelay(req, terms, active.Requests)
	terms.memoryTokens = requestMemory(req, float64(cached.Tokens))
	terms.full = m.isFull(req, state, terms, active)
	scored.backlogTokens = terms.queuedTokens
	scored.activeRequests = active.Requests
	scored.cost = m.cost(req, terms, active)
	return scored
}

// queuedTokens returns the number of tokens that a replica computes before the request's own.
// Less urgent prompts are weighted by LessUrgentWeight, since only the one in progress is
// computed before the request. Requests that the replica reports as waiting and that no router
// announced count with the mean number of tokens to compute.
func (m *timeModel) queuedTokens(req *Request, state *replicaState) float64 {
	var sums [replicaload.Priorities]float64
	state.load.RemainingPrefillByPriority(&sums)
	queued := 0.0
	for priority, tokens := range &sums {
		if priority <= int(req.Priority) {
			queued += tokens
		} else {
			queued += req.Settings.LessUrgentWeight * tokens
		}
	}
	return queued + state.load.UnannouncedRequests(req.Now)*state.meanCompute
}

// zonePrice returns the cost of sending the request to another zone, in milliseconds.
func (req *Request) zonePrice() float64 {
	kilobytes := float64(req.BodyBytes) / units.BytesPerKilobyte
	return req.Settings.ZonePrice + req.Settings.ZonePricePerKilobyte*kilobytes
}

// preference returns a pseudo-random number from 0 to 1 that is fixed for a router, a replica
// and a prompt.
func preference(router, address string, prompt prefixindex.ChainHash) float64 {
	return float64(tieHash(router+address, prompt)) / math.MaxUint64
}

// addDelay sets terms.delay, the estimated time to the first event.
func (m *timeModel) addDelay(req *Request, terms *timeTerms, requests float64) {
	work := terms.queuedTokens + terms.computeTokens
	steps := 1 + work/req.Engine.PrefillChunk
	batch := steps * requests * units.Milliseconds(req.Engine.StepPerRequest)
	terms.delay = terms.slowness*(req.latency.Expected(work)+batch) + terms.pull
}

// requestMemory estimates the number of tokens that a request adds to the memory in use.
func requestMemory(req *Request, overlap float64) float64 {
	return float64(req.promptTokens) - overlap*(1-overlapMemoryFraction) + outputUseFraction*float64(req.OutputTokens)
}

// isFull reports whether the replica's slots are taken, its memory would overflow,
// or its blocks exceed the busy threshold.
func (m *timeModel) isFull(req *Request, state *replicaState, terms *timeTerms, active replicaload.Load) bool {
	if req.Engine.Slots > 0 && active.Requests >= float64(req.Engine.Slots) {
		return true
	}
	memory := state.load.MemoryTotal(req.Engine.MemoryTokens)
	if memory > 0 && active.DecodeTokens+terms.memoryTokens > preemptionMemoryFraction*memory {
		return true
	}
	blocks := (terms.queuedTokens + active.DecodeTokens) / float64(m.options.BlockTokens)
	return req.Settings.BusyThresholdBlocks > 0 && blocks >= req.Settings.BusyThresholdBlocks
}

// cost returns the weighted sum of the terms. The time to compute the prompt is part of the
// delay, and is added once more with the factor harmWeight, since it also delays the requests
// that are queued behind this one.
func (m *timeModel) cost(req *Request, terms *timeTerms, active replicaload.Load) float64 {
	settings := &req.Settings
	blockTime := req.latency.PerToken() * float64(m.options.BlockTokens)
	congestion := terms.slowness * req.harmWeight * req.latency.PerToken() * terms.computeTokens
	pressure := terms.slowness * (active.DecodeTokens + terms.memoryTokens) / float64(m.options.BlockTokens)
	return settings.PrefillLoadScale*(terms.delay+terms.price+congestion)/blockTime +
		settings.DecodeWeight*pressure +
		settings.RequestWeight*terms.slowness*active.Requests
}
