package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/units"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// minWaitTokens is the smallest number of pending prefix tokens, beyond those that the
	// replica caches already, that a request waits for.
	minWaitTokens = 256
	// waitTokenTolerance is how many tokens of the prefix may be missing at the end of the
	// wait, since the replica caches whole blocks only.
	waitTokenTolerance = 64
	// A wait ends at the latest after waitFactor times its expected time plus waitMargin.
	waitFactor = 1.5
	waitMargin = 100 * time.Millisecond
	// maxWait is the upper bound of every wait: a request that is held back is not in the
	// replica's queue yet, so that later requests overtake it.
	maxWait = 2 * time.Second
)

// PrefixWait is a wait until a replica has computed, for an earlier request, a prefix that
// the prompts share. A replica looks up its cache when a request arrives. A request that is
// sent before the earlier one has its first event computes the shared prefix once more, which
// takes longer than holding the request back until that event. The methods of PrefixWait are
// safe for concurrent use.
type PrefixWait struct {
	index, pending *prefixindex.Index
	feed           *cachefeed.Feed
	owner          prefixindex.Owner
	links          []prefixindex.Link
	// tokens is the length of the prefix.
	tokens   uint32
	deadline time.Duration
}

// Deadline returns the time on the router's clock at which the request is to be sent even if
// the prefix is not cached.
func (w *PrefixWait) Deadline() time.Duration { return w.deadline }

// Changed returns a channel that is closed at the next change of the replica's recorded cache
// contents.
func (w *PrefixWait) Changed() <-chan struct{} { return w.feed.NextChange() }

// Done reports whether the request is to be sent: the replica caches the prefix, no pending
// request computes the prefix any more, or the deadline has passed.
func (w *PrefixWait) Done(now time.Duration) bool {
	if now >= w.deadline {
		return true
	}
	var cached, pending prefixindex.Overlaps
	w.index.Overlaps(now, w.links, &cached)
	if cached.Of(w.owner).Likely.Tokens+waitTokenTolerance >= w.tokens {
		return true
	}
	w.pending.Overlaps(now, w.links, &pending)
	return pending.Of(w.owner).Likely.Tokens < w.tokens
}

// plannedWait is the expected result of a wait at a replica.
type plannedWait struct {
	// extent is the part of the prompt that the replica will cache after the wait.
	extent prefixindex.Extent
	// backlog is the largest number of prompt tokens that the replica computes before the
	// wait ends.
	backlog float64
}

// planWait reports whether it is faster to hold the request back until the replica has
// computed the beginning of its prompt for an earlier request.
func (m *timeModel) planWait(p *prompt, state *replicaState, cached prefixindex.Extent, queuedTokens float64) (planned plannedWait, beneficial bool) {
	if m.options.Disabled.PrefixWaits {
		return plannedWait{}, false
	}
	pending := p.pending.Of(state.owner).Likely
	if pending.Tokens < cached.Tokens+minWaitTokens {
		return plannedWait{}, false
	}
	planned = plannedWait{extent: pending, backlog: state.load.RemainingPrefill()}
	saved := float64(pending.Tokens - cached.Tokens)
	return planned, planned.backlog < queuedTokens+saved
}

// prefixWait returns the wait of the chosen candidate, or nil if there is none.
func (m *timeModel) prefixWait(req *Request, chosen *scoredCandidate) *PrefixWait {
	if !chosen.waits {
		return nil
	}
	expected := chosen.timeTerms.slowness * req.latency.PerToken() * chosen.timeTerms.queuedTokens
	wait := min(units.FromMilliseconds(waitFactor*expected)+waitMargin, maxWait)
	if req.MaxWait > 0 {
		wait = min(wait, req.MaxWait)
	}
	return &PrefixWait{
		index:    m.index,
		pending:  m.pending,
		feed:     chosen.state.feed,
		owner:    chosen.state.owner,
		links:    chosen.prompt.links,
		tokens:   chosen.overlap.Likely.Tokens,
		deadline: req.Now + wait,
	}
}
