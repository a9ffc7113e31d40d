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
	// coldSlowdown is how many times longer a cold replica is assumed to take.
	coldSlowdown = 1.5
	// memoryInUse is the share of memory from which on requests are preempted.
	memoryInUse = 0.97
	// sharedMemory is the share of a kept overlap that a request adds to the
	// memory in use: other requests may hold it already.
	sharedMemory = 0.5
	// outputMemory is the share of the most tokens out that a request uses.
	outputMemory = 0.5
	// maxPaces bounds the models whose speed is learnt.
	maxPaces = 64
)

// timedTerms are what the cost in the replica's own time is made of.
type timedTerms struct {
	// compute are the tokens of the prompt that the replica has to read, and
	// ahead those of other prompts that it reads before, weighted.
	compute, ahead float64
	// slowness is how many times longer the replica takes than its pool.
	slowness float64
	// pull and delay are in milliseconds; delay is the expected time to the first
	// event.
	pull, delay float64
	// memory are the tokens that the request adds to those in use.
	memory float64
	// price is what the move and the distance cost, in milliseconds.
	price float64
	// over tells that the replica's slots or memory are full.
	over bool
}

// paceOf returns the learnt pace of a model's replicas. The router's lock is
// held.
func (r *Router) paceOf(model string, profile *EngineProfile) *pace {
	known, present := r.paces[model]
	if present {
		return known
	}
	if len(r.paces) >= maxPaces {
		clear(r.paces)
	}
	created := newPace(profile)
	r.paces[model] = created
	return created
}

// scoreTimed estimates what the request costs on a replica, in blocks of the
// time that a usual replica takes to read them.
func (r *Router) scoreTimed(req *Request, candidate *Candidate, state *replicaState, p *prompt) scoredCandidate {
	scored := scoredCandidate{
		candidate: candidate,
		state:     state,
		prompt:    p,
		view:      state.feed.view(req.Now),
		overlap:   p.overlaps.Of(state.holder),
	}
	state.perToken = req.pace.perToken
	state.settle(req.Now)
	terms := &scored.timed
	terms.slowness = state.slowness.factor()
	if candidate.ColdUntil > req.Now {
		terms.slowness *= coldSlowdown
	}
	terms.ahead = r.ahead(req, state)
	if planned, worthIt := r.planAwait(p, state, scored.overlap.Likely, terms.ahead); worthIt {
		scored.awaits = true
		scored.overlap.Likely = planned.extent
		terms.ahead = planned.backlog
	}
	if r.options.Off.Overlap {
		scored.overlap = prefixindex.Overlap{}
	}
	own := scored.overlap.Likely
	terms.compute = float64(req.promptTokens) - float64(own.Tokens)
	scored.pull, scored.pulls = r.planTimedPull(req, p, state, candidate, own, terms.slowness)
	if scored.pulls {
		terms.compute -= float64(scored.pull.tokens) * r.lasting(req, state)
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
	terms.memory = requestMemory(req, float64(own.Tokens))
	terms.over = r.over(req, state, terms, active)
	scored.backlogTokens = terms.ahead
	scored.activeRequests = active.requests
	scored.cost = r.timedCost(req, terms, active)
	return scored
}

// zonePrice is what sending the request to another zone costs, in milliseconds.
func (req *Request) zonePrice() float64 {
	kilobytes := float64(req.BodyBytes) / bytesPerKilobyte
	return req.Settings.ZonePrice + req.Settings.ZonePricePerKilobyte*kilobytes
}

// mostHarm is the largest weight of harm that a backlog leads to.
const mostHarm = 16

// weighHarm sets the weight of harm by the median backlog of the candidates: as
// long as half of them are idle, hardly anybody waits for this prompt.
func (r *Router) weighHarm(s *scratch, req *Request, candidates []Candidate) {
	req.harmWeight = req.Settings.HarmWeight
	if req.Settings.HarmTime <= 0 || len(candidates) == 0 {
		return
	}
	s.backlogs = s.backlogs[:0]
	for at := range candidates {
		state := r.state(req.Now, candidates[at].Address)
		state.perToken = req.pace.perToken
		state.settle(req.Now)
		s.backlogs = append(s.backlogs, state.queue.left()+state.shared.sum.prefill())
	}
	slices.Sort(s.backlogs)
	backlog := s.backlogs[(len(s.backlogs)-1)/2] * req.pace.perToken
	req.harmWeight = min(req.Settings.HarmWeight*(1+backlog/req.Settings.HarmTime), max(mostHarm, req.Settings.HarmWeight))
}

// addDelay estimates the time to the first event.
func (r *Router) addDelay(req *Request, terms *timedTerms, requests float64) {
	work := terms.ahead + terms.compute
	steps := 1 + work/req.Engine.PrefillChunk
	batch := steps * requests * milliseconds(req.Engine.StepPerRequest)
	terms.delay = terms.slowness*(req.pace.expected(work)+batch) + terms.pull
}

// timedCost weighs the terms. The prompt's own tokens count more than once, since
// whoever comes behind waits for them too.
func (r *Router) timedCost(req *Request, terms *timedTerms, active load) float64 {
	settings := &req.Settings
	blockTime := req.pace.perToken * float64(r.options.BlockTokens)
	harm := terms.slowness * req.harmWeight * req.pace.perToken * terms.compute
	pressure := terms.slowness * (active.decodeTokens + terms.memory) / float64(r.options.BlockTokens)
	return settings.PrefillLoadScale*(terms.delay+terms.price+harm)/blockTime +
		settings.DecodeWeight*pressure +
		settings.RequestWeight*terms.slowness*active.requests
}

// ahead sums the tokens that a replica reads before the request's own. Less
// urgent prompts count less, since only the one being read now goes first.
func (r *Router) ahead(req *Request, state *replicaState) float64 {
	sums := state.shared.sum.PrefillTokens
	state.queue.byPriority(&sums)
	ahead := 0.0
	for priority, tokens := range sums {
		if priority <= int(req.Priority) {
			ahead += tokens
		} else {
			ahead += req.Settings.LessUrgentWeight * tokens
		}
	}
	return ahead + r.unknownRequests(req, state)*state.meanCompute
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
	total := state.load.own.present
	others := load{requests: state.shared.sum.Requests, decodeTokens: state.shared.sum.DecodeTokens}
	if state.load.reported {
		reported := state.load.others.times(fade(now-state.load.reportedAt, &r.options))
		others.requests = max(others.requests, reported.requests)
		others.decodeTokens = max(others.decodeTokens, reported.decodeTokens)
	}
	total = total.plus(others)
	if used, known := state.memory.estimate(now, &state.load, &r.options); known {
		total.decodeTokens = used
	}
	return total
}

// requestMemory is what a request adds to the memory in use.
func requestMemory(req *Request, overlap float64) float64 {
	return float64(req.promptTokens) - overlap*(1-sharedMemory) + outputMemory*float64(req.OutputTokens)
}

// over tells whether the replica's slots are taken, its memory would overflow,
// or its blocks exceed the busy threshold.
func (r *Router) over(req *Request, state *replicaState, terms *timedTerms, active load) bool {
	if req.Engine.Slots > 0 && active.requests >= float64(req.Engine.Slots) {
		return true
	}
	memory := req.Engine.MemoryTokens
	if state.memory.total > 0 {
		memory = state.memory.total
	}
	if memory > 0 && active.decodeTokens+terms.memory > memoryInUse*memory {
		return true
	}
	blocks := (terms.ahead + active.decodeTokens) / float64(r.options.BlockTokens)
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
func (m *memoryReport) estimate(now time.Duration, record *loadRecord, options *Options) (used float64, known bool) {
	if !m.known || now-m.describes > options.ReportFresh {
		return 0, false
	}
	since := record.own.present.decodeTokens - record.own.at(m.describes).decodeTokens
	return max(0, m.used+since), true
}
