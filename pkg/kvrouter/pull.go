package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// pullSource is a holder that a replica may pull parts of the prompt from.
type pullSource struct {
	state   *replicaState
	zone    string
	region  string
	extent  prefixindex.Extent
	isStore bool
	// certain tells that the holder has reported to keep all of it.
	certain bool
}

// plannedPull is a pull with what its planning was based on.
type plannedPull struct {
	source     pullSource
	zones      zonePair
	firstChunk int
	tokens     uint32
	// sharedWith counts the pulls that were under way from the source.
	sharedWith int
	transfer   time.Duration
	// saved is how much sooner the parts are there than by prefill.
	saved time.Duration
	// savedFraction is saved as a share of the time of prefill, from 0 to 1.
	savedFraction float64
	// price is what the moved bytes cost, in milliseconds.
	price float64
}

// gatherSources finds the holders that others may pull each prompt from. The
// router's lock is held.
func (r *Router) gatherSources(s *scratch, req *Request, candidates []Candidate) {
	for at := range candidates {
		candidate := &candidates[at]
		if req.excludes(candidate.Address) {
			continue
		}
		r.addSource(req, s.prompt(candidate.WeightVersion), candidate.Address, candidate.Zone, candidate.Region, false)
	}
	for at := range s.used {
		if req.Store != "" {
			r.addSource(req, &s.prompts[at], req.Store, req.StoreZone, req.StoreRegion, true)
		}
		if req.Engine != nil {
			s.prompts[at].keepBestSources()
		}
	}
}

// addSource adds a holder that certainly keeps the beginning of the prompt and
// has the strength left to serve it. Only parts that it reported count: a guess
// would send the replica for nothing.
func (r *Router) addSource(req *Request, p *prompt, address, zone, region string, isStore bool) {
	state := r.stateLocked(req.Now, address)
	if req.Engine != nil {
		if r.options.Disabled.allowsPull(isStore) {
			p.addSourceByTime(state, zone, region, isStore)
		}
		return
	}
	reach := p.overlaps.Of(state.owner).Reported
	if reach.Chunks == 0 || state.pullsServed >= r.options.MaxPullsPerSource {
		return
	}
	if !isStore && r.busy(req, state) {
		return
	}
	if state.feed.view(req.Now).uncertain {
		return
	}
	p.sources = append(p.sources, pullSource{state: state, zone: zone, extent: reach, isStore: isStore})
}

// planPullByBlocks finds the pull that saves a replica the most time; planned is false
// when prefill is about as fast as any. The pull begins where the replica's own
// overlap ends. The router's lock is held.
func (r *Router) planPullByBlocks(req *Request, p *prompt, state *replicaState, zone string, cached prefixindex.Extent) (best plannedPull, planned bool) {
	for at := range p.sources {
		source := &p.sources[at]
		if source.state == state || source.extent.Chunks <= cached.Chunks || source.extent.Tokens <= cached.Tokens {
			continue
		}
		candidate := r.estimatePullByBlocks(req, source, state, zone, cached)
		if candidate.saved > best.saved {
			best = candidate
		}
	}
	return best, best.saved > 0
}

// estimatePullByBlocks compares a pull with prefill. Its saved time is 0 or less when
// the pull is not clearly faster.
func (r *Router) estimatePullByBlocks(req *Request, source *pullSource, state *replicaState, zone string, cached prefixindex.Extent) plannedPull {
	planned := plannedPull{
		source:     *source,
		zones:      zonePair{from: source.zone, to: zone},
		firstChunk: cached.Chunks,
		tokens:     source.extent.Tokens - cached.Tokens,
		sharedWith: source.state.pullsServed,
	}
	tokens := float64(planned.tokens)
	planned.transfer = r.bandwidths.transferTime(req.Now, planned.zones, tokens, planned.sharedWith, &r.options)
	weighted := float64(planned.transfer) * r.options.PullAdvantage
	if source.zone != zone {
		weighted *= r.options.CrossZoneFactor
	}
	prefill := state.speed.timeFor(tokens, &r.options)
	planned.saved = prefill - time.Duration(weighted)
	if planned.saved > 0 {
		planned.savedFraction = float64(planned.saved) / float64(prefill)
	}
	return planned
}

// credit returns the credit per block of a pull: that of the settings, but no
// more than the share of prefill that the pull saves. Over a slow link a pull
// saves little, and a replica must not win by it against one that keeps the
// parts itself.
func (p *plannedPull) credit(settings Settings) float64 {
	if p.source.isStore {
		return min(settings.StoreCredit, p.savedFraction)
	}
	return min(settings.PeerCredit, p.savedFraction)
}

// pull returns the instruction for the replica.
func (p *plannedPull) pull() *Pull {
	return &Pull{
		Source:        p.source.state.address,
		FirstPart:     p.firstChunk,
		LastPart:      p.source.extent.Chunks - 1,
		Tokens:        p.tokens,
		EstimatedTime: p.transfer,
	}
}

func (req *Request) excludes(address string) bool {
	return req.Exclude != nil && req.Exclude(address)
}
