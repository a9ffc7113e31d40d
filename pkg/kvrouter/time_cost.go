package kvrouter

import (
	"math"
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/units"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// slowStartSlowdown is how many times longer a replica in slow start is assumed
	// to take.
	slowStartSlowdown = 1.5
	// preemptionMemoryFraction is the fraction of memory in use from which on requests are
	// preempted.
	preemptionMemoryFraction = 0.97
	// overlapMemoryFraction is the fraction of a cached overlap that a request adds to the
	// memory in use: other requests may occupy it already.
	overlapMemoryFraction = 0.5
	// outputUseFraction is the fraction of its bound of output tokens that a request uses.
	outputUseFraction = 0.5
	// maxHarmWeight is the largest harm weight that a backlog leads to.
	maxHarmWeight = 16
)

// timeTerms are the terms of the cost in the replica's own time.
type timeTerms struct {
	// computeTokens are the tokens of the prompt that the replica has to compute,
	// and queuedTokens those of other prompts that it computes before, weighted.
	computeTokens, queuedTokens float64
	// slowness is how many times longer the replica takes than its pool.
	slowness float64
	// pull and delay are in milliseconds; delay is the expected time to the first
	// event.
	pull, delay float64
	// memoryTokens are the tokens that the request adds to those in use.
	memoryTokens float64
	// price is what the transfer and the distance cost, in milliseconds.
	price float64
	// full says that the replica's slots or memory are full.
	full bool
}

// setHarmWeight sets the weight of harm by the median backlog of the candidates.
// Harm is the delay that a prompt causes to the requests behind it: as long as half
// of the candidates are idle, hardly any request waits for this prompt.
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

// scoreOne estimates what the request costs on a replica, in blocks of the time
// that a usual replica takes to compute them.
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

// queuedTokens sums the tokens that a replica computes before the request's own.
// Less urgent prompts count less, since only the one in progress goes first.
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

// zonePrice is what sending the request to another zone costs, in milliseconds.
func (req *Request) zonePrice() float64 {
	kilobytes := float64(req.BodyBytes) / units.BytesPerKilobyte
	return req.Settings.ZonePrice + req.Settings.ZonePricePerKilobyte*kilobytes
}

// preference is a number from 0 to 1 that each router draws for each replica
// and prompt.
func preference(router, address string, prompt prefixindex.ChainHash) float64 {
	return float64(tieHash(router+address, prompt)) / math.MaxUint64
}

// addDelay estimates the time to the first event.
func (m *timeModel) addDelay(req *Request, terms *timeTerms, requests float64) {
	work := terms.queuedTokens + terms.computeTokens
	steps := 1 + work/req.Engine.PrefillChunk
	batch := steps * requests * units.Milliseconds(req.Engine.StepPerRequest)
	terms.delay = terms.slowness*(req.latency.Expected(work)+batch) + terms.pull
}

// requestMemory returns the tokens that a request adds to the memory in use.
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

// cost weighs the terms. The prompt's own tokens count more than once, since the
// requests behind it are delayed by them too.
func (m *timeModel) cost(req *Request, terms *timeTerms, active replicaload.Load) float64 {
	settings := &req.Settings
	blockTime := req.latency.PerToken() * float64(m.options.BlockTokens)
	congestion := terms.slowness * req.harmWeight * req.latency.PerToken() * terms.computeTokens
	pressure := terms.slowness * (active.DecodeTokens + terms.memoryTokens) / float64(m.options.BlockTokens)
	return settings.PrefillLoadScale*(terms.delay+terms.price+congestion)/blockTime +
		settings.DecodeWeight*pressure +
		settings.RequestWeight*terms.slowness*active.Requests
}
