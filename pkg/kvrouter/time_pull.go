package kvrouter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// zoneFactor and regionFactor multiply the time of moves between zones and
	// between regions.
	zoneFactor   = 2.0
	regionFactor = 10.0
	// maxTransferWait is the wait for a link from which on no pull is planned.
	maxTransferWait = time.Second
	// maxSources and maxSourcesOfZone bound the sources that are considered for
	// each candidate.
	maxSources       = 4
	maxSourcesOfZone = 1
	// minPullTokens is the smallest pull that is planned, in tokens.
	minPullTokens = 64
	// minLateMilliseconds is the excess of a pull's time that tells of a slow link.
	minLateMilliseconds = 150.0
	// slowdownHalfLife is how fast the memory of a slow link ends.
	slowdownHalfLife = 4 * time.Second
	maxSlowdown      = 200.0
	// lateTransfersForSlowdown is how many moves in a row have to be late until their link counts
	// as slow.
	lateTransfersForSlowdown = 2
	// maxSaveFraction is the largest share of the store that one prompt may take.
	maxSaveFraction = 0.125
)

// transferLink is the state of one holder's link for moves of kept parts, which run one
// after another.
type transferLink struct {
	freeAt time.Duration
	// slowdown is how many times longer moves take than they should, at slowdownAt.
	slowdown   float64
	slowdownAt time.Duration
	// lateInRow counts the moves in a row that came far too late.
	lateInRow int
}

// slowdownFactor returns how many times longer moves take now.
func (m *transferLink) slowdownFactor(now time.Duration) float64 {
	if m.slowdown <= 1 {
		return 1
	}
	halvings := float64(now-m.slowdownAt) / float64(slowdownHalfLife)
	return max(1, m.slowdown*math.Exp2(-halvings))
}

// recordOnTime takes in a move that took about as long as expected.
func (m *transferLink) recordOnTime() { m.lateInRow = 0 }

// recordLate takes in a move that may have taken so many times longer: its request was
// late, for that reason or because of a queue that this router did not know of. Only
// several in a row tell of the link.
func (m *transferLink) recordLate(now time.Duration, ratio float64) {
	m.lateInRow++
	if m.lateInRow < lateTransfersForSlowdown {
		return
	}
	m.slowdown = min(max(ratio, m.slowdownFactor(now)), maxSlowdown)
	m.slowdownAt = now
}

// observeTransfer takes in how much later than expected, in milliseconds, a request began
// whose pull should have taken a time, and tells whether that is far too late.
func (r *Reservation) observeTransfer(now time.Duration, pull, excess float64) (tooLate bool) {
	source, target := &r.pull.source.state.transferLink, &r.state.transferLink
	if excess <= max(minLateMilliseconds, 2*pull) {
		source.recordOnTime()
		target.recordOnTime()
		return false
	}
	ratio := (excess + pull) / max(pull, 1)
	source.recordLate(now, ratio)
	target.recordLate(now, ratio)
	return true
}

// addSourceByTime adds a holder that keeps the beginning of the prompt, or has
// probably read it. A miss costs little.
func (p *prompt) addSourceByTime(state *replicaState, zone, region string, isStore bool) {
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

// keepBestSources leaves a few of many sources: those that keep the most, and of
// those that keep as much the ones whose link is free first, some in each zone.
func (p *prompt) keepBestSources() {
	if len(p.sources) <= maxSources {
		return
	}
	slices.SortStableFunc(p.sources, func(a, b pullSource) int {
		return cmp.Or(cmp.Compare(b.extent.Tokens, a.extent.Tokens), cmp.Compare(a.state.transferLink.freeAt, b.state.transferLink.freeAt))
	})
	best := p.sources[:0]
	for at := range p.sources {
		source := p.sources[at]
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

// planPullByTime finds the pull that brings the prompt sooner than reading it, or
// than any other. The router's lock is held.
func (r *Router) planPullByTime(req *Request, p *prompt, state *replicaState, candidate *Candidate, cached prefixindex.Extent, slowness float64) (best plannedPull, planned bool) {
	prefillFactor := slowness * r.retainedFraction(req, state)
	for at := range p.sources {
		source := &p.sources[at]
		if source.state == state || source.extent.Tokens < cached.Tokens+minPullTokens {
			continue
		}
		considered := r.estimatePullByTime(req, source, state, candidate, cached, prefillFactor)
		if considered.saved > best.saved {
			best = considered
		}
	}
	return best, best.saved > 0
}

func (r *Router) estimatePullByTime(req *Request, source *pullSource, state *replicaState, candidate *Candidate, cached prefixindex.Extent, prefillFactor float64) plannedPull {
	planned := plannedPull{
		source:     *source,
		firstChunk: cached.Chunks,
		tokens:     source.extent.Tokens - cached.Tokens,
	}
	free := max(source.state.transferLink.freeAt, state.transferLink.freeAt)
	wait := max(0, free-req.Now)
	if wait > maxTransferWait {
		return planned
	}
	tokens := float64(planned.tokens)
	planned.transfer = wait + r.estimateTransferTime(req, source, state, candidate, tokens)
	prefill := prefillFactor * req.latency.perToken * tokens
	bytes := tokens * req.Engine.BytesPerToken
	price := req.Settings.TransferPrice * bytes / bytesPerMegabyte
	saved := prefill - r.options.PullAdvantage*milliseconds(planned.transfer) - price
	if !source.certain {
		saved *= r.options.GuessCredit
	}
	planned.price = price
	planned.saved = fromMilliseconds(saved)
	return planned
}

// retainedFraction is the share of pulled parts that will be there when the request's turn
// comes. Those that wait before it bring parts of their own into memory.
func (r *Router) retainedFraction(req *Request, state *replicaState) float64 {
	capacity := req.Settings.ChurnFraction * req.Engine.MemoryTokens
	if capacity <= 0 {
		return 1
	}
	waiting := state.queue.unread() + state.shared.sum.prefill()
	return max(0, 1-waiting/capacity)
}

// estimateTransferTime estimates how long tokens take between two holders, without a wait.
func (r *Router) estimateTransferTime(req *Request, source *pullSource, state *replicaState, candidate *Candidate, tokens float64) time.Duration {
	rate := req.Engine.LinkBitsPerSecond
	if source.isStore {
		rate = min(rate, req.Engine.StoreLinkBitsPerSecond)
	}
	transfer := seconds(tokens * req.Engine.BytesPerToken * bitsPerByte / rate)
	transfer = time.Duration(float64(transfer) * distance(source.zone, source.region, candidate))
	factor := max(source.state.transferLink.slowdownFactor(req.Now), state.transferLink.slowdownFactor(req.Now))
	return req.Engine.PullSetup + time.Duration(float64(transfer)*factor)
}

// distance returns how many times longer moves to a replica take than within a
// zone.
func distance(zone, region string, candidate *Candidate) float64 {
	switch {
	case region != candidate.Region:
		return regionFactor
	case zone != candidate.Zone:
		return zoneFactor
	}
	return 1
}

// reserveLinks books the links of both ends.
func (r *Reservation) reserveLinks(now time.Duration) {
	end := now + r.pull.transfer
	r.pull.source.state.transferLink.freeAt = end
	r.state.transferLink.freeAt = end
}

// shouldSave tells whether the request is to save its parts to the store: those
// that others are likely to use again, when the store lacks some of them. The
// router's lock is held.
func (r *Router) shouldSave(req *Request, p *prompt) bool {
	if req.Store == "" || len(p.links) == 0 || r.options.Disabled.SaveToStore {
		return false
	}
	last := len(p.links) - 1
	reused := r.recentHashes.add(p.links[last].Hash) || req.Session
	saved := p.links
	if !reused {
		saved = p.links[:last]
	}
	tokens := 0.0
	for _, link := range saved {
		tokens += float64(link.Tokens)
	}
	if capacity := req.Engine.StoreTokens; capacity > 0 && float64(req.promptTokens) > maxSaveFraction*capacity {
		return false
	}
	// What is on its way to the store counts as kept.
	owner := r.stateLocked(req.Now, req.Store).owner
	stored := max(p.overlaps.Of(owner).Likely.Tokens, p.pending.Of(owner).Likely.Tokens)
	return tokens >= minPullTokens && float64(stored) < tokens
}
