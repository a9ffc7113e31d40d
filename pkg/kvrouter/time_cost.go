package kvrouter

import (
	"math"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	bytesPerKilobyte = 1e3
	bytesPerMegabyte = 1e6
)

const (
	// slowStartSlowdown is how many times longer a cold replica is assumed to take.
	slowStartSlowdown = 1.5
	// memoryInUse is the share of memory from which on requests are preempted.
	memoryInUse = 0.97
	// sharedMemory is the share of a kept overlap that a request adds to the
	// memory in use: other requests may hold it already.
	sharedMemory = 0.5
	// outputMemory is the share of the most tokens out that a request uses.
	outputMemory = 0.5
	// maxLatencyModels bounds the models whose speed is learnt.
	maxLatencyModels = 64
)

// timeTerms are what the cost in the replica's own time is made of.
type timeTerms struct {
	// computeTokens are the tokens of the prompt that the replica has to read, and
	// ahead those of other prompts that it reads before, weighted.
	computeTokens, queuedTokens float64
	// slowness is how many times longer the replica takes than its pool.
	slowness float64
	// pull and delay are in milliseconds; delay is the expected time to the first
	// event.
	pull, delay float64
	// memoryTokens are the tokens that the request adds to those in use.
	memoryTokens float64
	// price is what the move and the distance cost, in milliseconds.
	price float64
	// isFull tells that the replica's slots or memory are full.
	full bool
}

// latencyModelOf returns the learnt pace of a model's replicas. The router's lock is
// held.
func (r *Router) latencyModelOf(model string, profile *EngineProfile) *latencyModel {
	learned, present := r.latencyModels[model]
	if present {
		return learned
	}
	if len(r.latencyModels) >= maxLatencyModels {
		clear(r.latencyModels)
	}
	created := newLatencyModel(profile)
	r.latencyModels[model] = created
	return created
}

// scoreByTime estimates what the request costs on a replica, in blocks of the
// time that a usual replica takes to read them.
func (r *Router) scoreByTime(req *Request, candidate *Candidate, state *replicaState, p *prompt) scoredCandidate {
	scored := scoredCandidate{
		candidate: candidate,
		state:     state,
		prompt:    p,
		view:      state.feed.view(req.Now),
		overlap:   p.overlaps.Of(state.owner),
	}
	state.perToken = req.latency.perToken
	state.drainBacklog(req.Now)
	terms := &scored.timeTerms
	terms.slowness = state.slowness.factor()
	if candidate.SlowStartUntil > req.Now {
		terms.slowness *= slowStartSlowdown
	}
	terms.queuedTokens = r.queuedTokens(req, state)
	if planned, beneficial := r.planWait(p, state, scored.overlap.Likely, terms.queuedTokens); beneficial {
		scored.waits = true
		scored.overlap.Likely = planned.extent
		terms.queuedTokens = planned.backlog
	}
	if r.options.Disabled.Overlap {
		scored.overlap = prefixindex.Overlap{}
	}
	cached := scored.overlap.Likely
	terms.computeTokens = float64(req.promptTokens) - float64(cached.Tokens)
	scored.pull, scored.pulls = r.planPullByTime(req, p, state, candidate, cached, terms.slowness)
	if scored.pulls {
		terms.computeTokens -= float64(scored.pull.tokens) * r.retainedFraction(req, state)
		terms.pull = milliseconds(scored.pull.transfer)
		terms.price = scored.pull.price
	}
	if req.Zone != "" && req.Zone != candidate.Zone {
		terms.price += req.zonePrice()
	}
	if spread := req.Settings.SpreadTime; spread > 0 {
		terms.price += spread * preference(r.options.Name, candidate.Address, p.identity())
	}
	active := r.activeLoad(req.Now, state)
	r.addDelay(req, terms, active.requests)
	terms.memoryTokens = requestMemory(req, float64(cached.Tokens))
	terms.full = r.isFull(req, state, terms, active)
	scored.backlogTokens = terms.queuedTokens
	scored.activeRequests = active.requests
	scored.cost = r.timeCost(req, terms, active)
	return scored
}

// zonePrice is what sending the request to another zone costs, in milliseconds.
func (req *Request) zonePrice() float64 {
	kilobytes := float64(req.BodyBytes) / bytesPerKilobyte
	return req.Settings.ZonePrice + req.Settings.ZonePricePerKilobyte*kilobytes
}

// maxHarmWeight is the largest weight of harm that a backlog leads to.
const maxHarmWeight = 16

// setHarmWeight sets the weight of harm by the median backlog of the candidates: as
// long as half of them are idle, hardly anybody waits for this prompt.
func (r *Router) setHarmWeight(s *scratch, req *Request, candidates []Candidate) {
	req.harmWeight = req.Settings.HarmWeight
	if req.Settings.HarmTime <= 0 || len(candidates) == 0 {
		return
	}
	s.backlogs = s.backlogs[:0]
	for at := range candidates {
		state := r.stateLocked(req.Now, candidates[at].Address)
		state.perToken = req.latency.perToken
		state.drainBacklog(req.Now)
		s.backlogs = append(s.backlogs, state.queue.unread()+state.shared.sum.prefill())
	}
	slices.Sort(s.backlogs)
	backlog := s.backlogs[(len(s.backlogs)-1)/2] * req.latency.perToken
	req.harmWeight = min(req.Settings.HarmWeight*(1+backlog/req.Settings.HarmTime), max(maxHarmWeight, req.Settings.HarmWeight))
}

// addDelay estimates the time to the first event.
func (r *Router) addDelay(req *Request, terms *timeTerms, requests float64) {
	work := terms.queuedTokens + terms.computeTokens
	steps := 1 + work/req.Engine.PrefillChunk
	batch := steps * requests * milliseconds(req.Engine.StepPerRequest)
	terms.delay = terms.slowness*(req.latency.expected(work)+batch) + terms.pull
}

// timeCost weighs the terms. The prompt's own tokens count more than once, since
// whoever comes behind waits for them too.
func (r *Router) timeCost(req *Request, terms *timeTerms, active load) float64 {
	settings := &req.Settings
	blockTime := req.latency.perToken * float64(r.options.BlockTokens)
	harm := terms.slowness * req.harmWeight * req.latency.perToken * terms.computeTokens
	pressure := terms.slowness * (active.decodeTokens + terms.memoryTokens) / float64(r.options.BlockTokens)
	return settings.PrefillLoadScale*(terms.delay+terms.price+harm)/blockTime +
		settings.DecodeWeight*pressure +
		settings.RequestWeight*terms.slowness*active.requests
}

// queuedTokens sums the tokens that a replica reads before the request's own. Less
// urgent prompts count less, since only the one being read now goes first.
func (r *Router) queuedTokens(req *Request, state *replicaState) float64 {
	sums := state.shared.sum.PrefillTokens
	state.queue.byPriority(&sums)
	queued := 0.0
	for priority, tokens := range sums {
		if priority <= int(req.Priority) {
			queued += tokens
		} else {
			queued += req.Settings.LessUrgentWeight * tokens
		}
	}
	return queued + r.unknownRequests(req, state)*state.meanCompute
}

// unknownRequests counts the requests that the replica reports to wait, and that
// no router told of.
func (r *Router) unknownRequests(req *Request, state *replicaState) float64 {
	if !state.load.reported {
		return 0
	}
	fading := fade(req.Now-state.load.reportedAt, &r.options)
	beyond := state.load.others.requests*fading - state.shared.sum.Requests
	return max(0, min(beyond, state.memory.waiting))
}

// activeLoad is the load of the replica: the own one, and what others told or
// the replica reported.
func (r *Router) activeLoad(now time.Duration, state *replicaState) load {
	total := state.load.local.present
	others := load{requests: state.shared.sum.Requests, decodeTokens: state.shared.sum.DecodeTokens}
	if state.load.reported {
		reported := state.load.others.times(fade(now-state.load.reportedAt, &r.options))
		others.requests = max(others.requests, reported.requests)
		others.decodeTokens = max(others.decodeTokens, reported.decodeTokens)
	}
	total = total.plus(others)
	if used, reported := state.memory.estimate(now, &state.load, &r.options); reported {
		total.decodeTokens = used
	}
	return total
}

// requestMemory is what a request adds to the memory in use.
func requestMemory(req *Request, overlap float64) float64 {
	return float64(req.promptTokens) - overlap*(1-sharedMemory) + outputMemory*float64(req.OutputTokens)
}

// isFull tells whether the replica's slots are taken, its memory would overflow,
// or its blocks exceed the busy threshold.
func (r *Router) isFull(req *Request, state *replicaState, terms *timeTerms, active load) bool {
	if req.Engine.Slots > 0 && active.requests >= float64(req.Engine.Slots) {
		return true
	}
	memory := req.Engine.MemoryTokens
	if state.memory.total > 0 {
		memory = state.memory.total
	}
	if memory > 0 && active.decodeTokens+terms.memoryTokens > memoryInUse*memory {
		return true
	}
	blocks := (terms.queuedTokens + active.decodeTokens) / float64(r.options.BlockTokens)
	return req.Settings.BusyThresholdBlocks > 0 && blocks >= req.Settings.BusyThresholdBlocks
}

// preference is a number from 0 to 1 that each router draws for each replica
// and prompt.
func preference(router, address string, prompt prefixindex.ChainHash) float64 {
	return float64(tieHash(router+address, prompt)) / math.MaxUint64
}

// memoryReport is a replica's own account of its memory.
type memoryReport struct {
	used, total float64
	waiting     float64
	describes   time.Duration
	known       bool
}

// estimate returns the tokens in use now: the reported ones, and what the own
// requests have changed since.
func (m *memoryReport) estimate(now time.Duration, record *loadRecord, options *Options) (used float64, fresh bool) {
	if !m.known || now-m.describes > options.ReportFresh {
		return 0, false
	}
	since := record.local.present.decodeTokens - record.local.at(m.describes).decodeTokens
	return max(0, m.used+since), true
}
