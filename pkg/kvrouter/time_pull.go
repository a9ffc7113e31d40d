package kvrouter

import (
	"cmp"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/units"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// zoneFactor and regionFactor multiply the estimated time of transfers between zones and
	// between regions.
	zoneFactor   = 2.0
	regionFactor = 10.0
	// maxTransferWait is the longest wait for a link with which a pull is planned.
	maxTransferWait = time.Second
	// Up to maxSources sources are all considered. Of a larger number, the best
	// maxSourcesOfZone of each zone are considered, up to maxSources in total, and the store.
	maxSources       = 4
	maxSourcesOfZone = 1
	// minPullTokens is the smallest number of tokens for which a pull or a save is planned.
	minPullTokens = 64
)

// gatherSources collects, for each weight version, the owners that chunks of the prompt may be
// pulled from: the candidates with this version, and the store.
func (m *timeModel) gatherSources(s *scratch, req *Request, candidates []Candidate) {
	for i := range candidates {
		candidate := &candidates[i]
		if req.excludes(candidate.Address) {
			continue
		}
		state := m.replicas.state(req.Now, candidate.Address)
		if !m.options.Disabled.PeerPulls {
			s.prompt(candidate.WeightVersion).addSource(state, candidate.Zone, candidate.Region, false)
		}
	}
	for i := range s.used {
		if req.Store != "" {
			state := m.replicas.state(req.Now, req.Store)
			if !m.options.Disabled.StorePulls {
				s.prompts[i].addSource(state, req.StoreZone, req.StoreRegion, true)
			}
		}
		s.prompts[i].keepBestSources()
	}
}

// addSource adds an owner that caches the beginning of the prompt, or probably does. A pull
// that finds nothing costs little, and estimatePull discounts the saved time of pulls of
// chunks that are not certainly cached.
func (p *prompt) addSource(state *replicaState, zone, region string, isStore bool) {
	overlap := p.overlaps.Of(state.owner)
	if overlap.Likely.Tokens < minPullTokens {
		return
	}
	p.sources = append(p.sources, pullSource{
		state:   state,
		zone:    zone,
		region:  region,
		extent:  overlap.Likely,
		isStore: isStore,
		certain: overlap.Reported.Tokens >= overlap.Likely.Tokens,
	})
}

// keepBestSources reduces the sources to at most maxSourcesOfZone in each zone and maxSources
// in total, if there are more than maxSources. It prefers sources that cache more tokens, and
// at equal tokens those whose link is free earlier. The store is always kept.
func (p *prompt) keepBestSources() {
	if len(p.sources) <= maxSources {
		return
	}
	slices.SortStableFunc(p.sources, func(a, b pullSource) int {
		return cmp.Or(
			cmp.Compare(b.extent.Tokens, a.extent.Tokens),
			cmp.Compare(a.state.transferLink.FreeAt(), b.state.transferLink.FreeAt()))
	})
	best := p.sources[:0]
	for i := range p.sources {
		source := p.sources[i]
		inZone := 0
		for _, earlier := range best {
			if earlier.zone == source.zone {
				inZone++
			}
		}
		if source.isStore || (inZone < maxSourcesOfZone && len(best) < maxSources) {
			best = append(best, source)
		}
	}
	p.sources = best
}

// planPull finds the pull that saves the most time compared with prefill. Planned is false if
// no pull saves time.
func (m *timeModel) planPull(req *Request, p *prompt, state *replicaState, candidate *Candidate, cached prefixindex.Extent, slowness float64) (best plannedPull, planned bool) {
	prefillFactor := slowness * retainedFraction(req, state)
	for i := range p.sources {
		source := &p.sources[i]
		if source.state == state || source.extent.Tokens < cached.Tokens+minPullTokens {
			continue
		}
		considered := m.estimatePull(req, source, state, candidate, cached, prefillFactor)
		if considered.saved > best.saved {
			best = considered
		}
	}
	return best, best.saved > 0
}

// estimatePull compares a pull with the prefill that it replaces. That prefill takes
// prefillFactor times as long as on an average replica. The saved time is 0 or less if the pull
// is not worth its price.
func (m *timeModel) estimatePull(req *Request, source *pullSource, state *replicaState, candidate *Candidate, cached prefixindex.Extent, prefillFactor float64) plannedPull {
	planned := plannedPull{
		source:     *source,
		firstChunk: cached.Chunks,
		tokens:     source.extent.Tokens - cached.Tokens,
	}
	free := max(source.state.transferLink.FreeAt(), state.transferLink.FreeAt())
	wait := max(0, free-req.Now)
	if wait > maxTransferWait {
		return planned
	}
	tokens := float64(planned.tokens)
	planned.transferTime = wait + transferTime(req, source, state, candidate, tokens)
	prefill := prefillFactor * req.latency.PerToken() * tokens
	bytes := tokens * req.Engine.BytesPerToken
	price := req.Settings.TransferPrice * bytes / units.BytesPerMegabyte
	saved := prefill - m.options.PullAdvantage*units.Milliseconds(planned.transferTime) - price
	if !source.certain {
		saved *= m.options.GuessCredit
	}
	planned.price = price
	planned.saved = units.FromMilliseconds(saved)
	return planned
}

// retainedFraction estimates the fraction of pulled chunks that will still be cached when the
// replica computes the request. The prompts that are queued before it occupy memory and may
// evict pulled chunks.
func retainedFraction(req *Request, state *replicaState) float64 {
	capacity := req.Settings.ChurnFraction * req.Engine.MemoryTokens
	if capacity <= 0 {
		return 1
	}
	return max(0, 1-state.load.RemainingPrefill()/capacity)
}

// transferTime estimates how long the transfer of tokens from a source takes, without waits
// for the links.
func transferTime(req *Request, source *pullSource, state *replicaState, candidate *Candidate, tokens float64) time.Duration {
	rate := req.Engine.LinkBitsPerSecond
	if source.isStore {
		rate = min(rate, req.Engine.StoreLinkBitsPerSecond)
	}
	transfer := units.FromSeconds(tokens * req.Engine.BytesPerToken * units.BitsPerByte / rate)
	transfer = time.Duration(float64(transfer) * distanceFactor(source, candidate))
	slowdown := max(source.state.transferLink.Slowdown(req.Now), state.transferLink.Slowdown(req.Now))
	return req.Engine.PullSetup + time.Duration(float64(transfer)*slowdown)
}

// distanceFactor returns the time of a transfer from a source to a candidate relative to a
// transfer within a zone.
func distanceFactor(source *pullSource, candidate *Candidate) float64 {
	switch {
	case source.region != candidate.Region:
		return regionFactor
	case source.zone != candidate.Zone:
		return zoneFactor
	}
	return 1
}
