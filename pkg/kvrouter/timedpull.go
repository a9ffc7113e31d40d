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
	// longestMoveWait is the wait for a link from which on no pull is planned.
	longestMoveWait = time.Second
	// maxSources and maxSourcesOfZone bound the sources that are considered for
	// each candidate.
	maxSources       = 4
	maxSourcesOfZone = 1
	// leastPull is the smallest pull that is planned, in tokens.
	leastPull = 64
	// linkSlowLeast is the excess of a pull's time that tells of a slow link.
	linkSlowLeast = 150.0
	// linkSlowHalving is how fast the memory of a slow link ends.
	linkSlowHalving = 4 * time.Second
	mostLinkSlow    = 200.0
	// lateMoves is how many moves in a row have to be late until their link counts
	// as slow.
	lateMoves = 2
	// saveShare is the largest share of the store that one prompt may take.
	saveShare = 0.125
)

// moves is the state of one holder's link for moves of kept parts, which run one
// after another.
type moves struct {
	freeAt time.Duration
	// slow is how many times longer moves take than they should, at slowAt.
	slow   float64
	slowAt time.Duration
	// late counts the moves in a row that came far too late.
	late int
}

// factor returns how many times longer moves take now.
func (m *moves) factor(now time.Duration) float64 {
	if m.slow <= 1 {
		return 1
	}
	halvings := float64(now-m.slowAt) / float64(linkSlowHalving)
	return max(1, m.slow*math.Exp2(-halvings))
}

// inTime takes in a move that took about as long as expected.
func (m *moves) inTime() { m.late = 0 }

// tooLate takes in a move that may have taken so many times longer: its request was
// late, for that reason or because of a queue that this router did not know of. Only
// several in a row tell of the link.
func (m *moves) tooLate(now time.Duration, ratio float64) {
	m.late++
	if m.late < lateMoves {
		return
	}
	m.slow = min(max(ratio, m.factor(now)), mostLinkSlow)
	m.slowAt = now
}

// judgeLinks takes in how much later than expected, in milliseconds, a request began
// whose pull should have taken a time, and tells whether that is far too late.
func (r *Reservation) judgeLinks(now time.Duration, pull, excess float64) (tooLate bool) {
	source, target := &r.pull.source.state.moves, &r.state.moves
	if excess <= max(linkSlowLeast, 2*pull) {
		source.inTime()
		target.inTime()
		return false
	}
	ratio := (excess + pull) / max(pull, 1)
	source.tooLate(now, ratio)
	target.tooLate(now, ratio)
	return true
}

// addTimedSource adds a holder that keeps the beginning of the prompt, or has
// probably read it. A miss costs little.
func (p *prompt) addTimedSource(state *replicaState, zone, region string, isStore bool) {
	overlap := p.overlaps.Of(state.holder)
	if overlap.Likely.Tokens < leastPull {
		return
	}
	p.sources = append(p.sources, pullSource{
		state:   state,
		zone:    zone,
		region:  region,
		reach:   overlap.Likely,
		isStore: isStore,
		sure:    overlap.Reported.Tokens >= overlap.Likely.Tokens,
	})
}

// keepBestSources leaves a few of many sources: those that keep the most, and of
// those that keep as much the ones whose link is free first, some in each zone.
func (p *prompt) keepBestSources() {
	if len(p.sources) <= maxSources {
		return
	}
	slices.SortStableFunc(p.sources, func(a, b pullSource) int {
		return cmp.Or(cmp.Compare(b.reach.Tokens, a.reach.Tokens), cmp.Compare(a.state.moves.freeAt, b.state.moves.freeAt))
	})
	kept := p.sources[:0]
	for at := range p.sources {
		source := p.sources[at]
		inZone := 0
		for _, earlier := range kept {
			if earlier.zone == source.zone {
				inZone++
			}
		}
		if source.isStore || (inZone < maxSourcesOfZone && len(kept) < maxSources) {
			kept = append(kept, source)
		}
	}
	p.sources = kept
}

// planTimedPull finds the pull that brings the prompt sooner than reading it, or
// than any other. The router's lock is held.
func (r *Router) planTimedPull(req *Request, p *prompt, state *replicaState, candidate *Candidate, own prefixindex.Extent, slow float64) (best plannedPull, planned bool) {
	worth := slow * r.lasting(req, state)
	for at := range p.sources {
		source := &p.sources[at]
		if source.state == state || source.reach.Tokens < own.Tokens+leastPull {
			continue
		}
		considered := r.estimateTimedPull(req, source, state, candidate, own, worth)
		if considered.saved > best.saved {
			best = considered
		}
	}
	return best, best.saved > 0
}

func (r *Router) estimateTimedPull(req *Request, source *pullSource, state *replicaState, candidate *Candidate, own prefixindex.Extent, worth float64) plannedPull {
	planned := plannedPull{
		source:    *source,
		firstPart: own.Parts,
		tokens:    source.reach.Tokens - own.Tokens,
	}
	free := max(source.state.moves.freeAt, state.moves.freeAt)
	wait := max(0, free-req.Now)
	if wait > longestMoveWait {
		return planned
	}
	tokens := float64(planned.tokens)
	planned.transfer = wait + r.moveTime(req, source, state, candidate, tokens)
	prefill := worth * req.pace.perToken * tokens
	bytes := tokens * req.Engine.BytesPerToken
	price := req.Settings.MovePrice * bytes / bytesPerMegabyte
	saved := prefill - r.options.PullAdvantage*milliseconds(planned.transfer) - price
	if !source.sure {
		saved *= r.options.GuessCredit
	}
	planned.price = price
	planned.saved = fromMilliseconds(saved)
	return planned
}

// lasting is the share of pulled parts that will be there when the request's turn
// comes. Those that wait before it bring parts of their own into memory.
func (r *Router) lasting(req *Request, state *replicaState) float64 {
	room := req.Settings.ChurnShare * req.Engine.MemoryTokens
	if room <= 0 {
		return 1
	}
	waiting := state.queue.left() + state.shared.sum.prefill()
	return max(0, 1-waiting/room)
}

// moveTime estimates how long tokens take between two holders, without a wait.
func (r *Router) moveTime(req *Request, source *pullSource, state *replicaState, candidate *Candidate, tokens float64) time.Duration {
	rate := req.Engine.LinkBitsPerSecond
	if source.isStore {
		rate = min(rate, req.Engine.StoreLinkBitsPerSecond)
	}
	transfer := seconds(tokens * req.Engine.BytesPerToken * bitsPerByte / rate)
	transfer = time.Duration(float64(transfer) * distance(source.zone, source.region, candidate))
	factor := max(source.state.moves.factor(req.Now), state.moves.factor(req.Now))
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

// beginMove books the links of both ends.
func (r *Reservation) beginMove(now time.Duration) {
	end := now + r.pull.transfer
	r.pull.source.state.moves.freeAt = end
	r.state.moves.freeAt = end
}

// shouldSave tells whether the request is to save its parts to the store: those
// that others are likely to use again, when the store lacks some of them. The
// router's lock is held.
func (r *Router) shouldSave(req *Request, p *prompt) bool {
	if req.Store == "" || len(p.links) == 0 || r.options.Off.Saves {
		return false
	}
	last := len(p.links) - 1
	again := r.seen.add(p.links[last].Hash) || req.Session
	wanted := p.links
	if !again {
		wanted = p.links[:last]
	}
	tokens := 0.0
	for _, link := range wanted {
		tokens += float64(link.Tokens)
	}
	if room := req.Engine.StoreTokens; room > 0 && float64(req.promptTokens) > saveShare*room {
		return false
	}
	// What is on its way to the store counts as kept.
	holder := r.state(req.Now, req.Store).holder
	kept := max(p.overlaps.Of(holder).Likely.Tokens, p.pending.Of(holder).Likely.Tokens)
	return tokens >= leastPull && float64(kept) < tokens
}
