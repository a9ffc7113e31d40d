package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/speed"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// gatherSources collects, for each weight version, the owners that chunks of the prompt may be
// pulled from: the candidates with this version, and the store.
func (m *blockModel) gatherSources(s *scratch, req *Request, candidates []Candidate) {
	for i := range candidates {
		candidate := &candidates[i]
		if req.excludes(candidate.Address) {
			continue
		}
		m.addSource(req, s.prompt(candidate.WeightVersion), candidate.Address, candidate.Zone, false)
	}
	if req.Store == "" {
		return
	}
	for i := range s.used {
		m.addSource(req, &s.prompts[i], req.Store, req.StoreZone, true)
	}
}

// addSource adds an owner that certainly caches the beginning of the prompt and has capacity
// to serve a pull. Only chunks that the owner reported count: a pull of a predicted chunk may
// find nothing.
func (m *blockModel) addSource(req *Request, p *prompt, address, zone string, isStore bool) {
	state := m.replicas.state(req.Now, address)
	extent := p.overlaps.Of(state.owner).Reported
	if extent.Chunks == 0 || state.pullsServed >= m.options.MaxPullsPerSource {
		return
	}
	if !isStore && m.busy(req, state) {
		return
	}
	if state.feed.View(req.Now).Uncertain {
		return
	}
	p.sources = append(p.sources, pullSource{state: state, zone: zone, extent: extent, isStore: isStore})
}

// planPull finds the pull that saves the replica the most time. The pull begins where the
// replica's own overlap ends. Planned is false if no pull is clearly faster than prefill.
func (m *blockModel) planPull(req *Request, p *prompt, state *replicaState, zone string, cached prefixindex.Extent) (best plannedPull, planned bool) {
	for i := range p.sources {
		source := &p.sources[i]
		if source.state == state || source.extent.Chunks <= cached.Chunks || source.extent.Tokens <= cached.Tokens {
			continue
		}
		candidate := m.estimatePull(req, source, state, zone, cached)
		if candidate.saved > best.saved {
			best = candidate
		}
	}
	return best, best.saved > 0
}

// estimatePull compares a pull with the prefill of the same tokens. The saved time is 0 or
// less if the pull is not clearly faster.
func (m *blockModel) estimatePull(req *Request, source *pullSource, state *replicaState, zone string, cached prefixindex.Extent) plannedPull {
	planned := plannedPull{
		source:     *source,
		zones:      speed.Zones{From: source.zone, To: zone},
		firstChunk: cached.Chunks,
		tokens:     source.extent.Tokens - cached.Tokens,
		sharedWith: source.state.pullsServed,
	}
	tokens := float64(planned.tokens)
	planned.transferTime = m.bandwidths.TransferTime(req.Now, planned.zones, tokens*m.options.BytesPerToken, planned.sharedWith)
	weighted := float64(planned.transferTime) * m.options.PullAdvantage
	if source.zone != zone {
		weighted *= m.options.CrossZoneFactor
	}
	prefill := state.prefillSpeed.TimeFor(tokens, m.options.PrefillTokensPerSecond)
	planned.saved = prefill - time.Duration(weighted)
	if planned.saved > 0 {
		planned.savedFraction = float64(planned.saved) / float64(prefill)
	}
	return planned
}

// credit returns the credit per pulled block: the credit in the settings, but at most the
// fraction of prefill time that the pull saves. A pull over a slow link saves little, and must
// not make its replica cheaper than one that caches the chunks itself.
func (p *plannedPull) credit(settings *Settings) float64 {
	if p.source.isStore {
		return min(settings.StoreCredit, p.savedFraction)
	}
	return min(settings.PeerCredit, p.savedFraction)
}
