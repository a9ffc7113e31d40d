package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/units"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// minWaitTokens is the smallest beginning of a prompt, in tokens, that a request
	// waits for.
	minWaitTokens = 256
	// waitTokenTolerance is how many of these tokens a replica may lack at the end of
	// the wait, as it caches whole blocks.
	waitTokenTolerance = 64
	// waitFactor and waitMargin bound a wait: it ends at so many times the expected
	// time, and a margin.
	waitFactor = 1.5
	waitMargin = 100 * time.Millisecond
	// maxWait bounds it in any case: a request that is held back is not in the replica's
	// queue yet, and later ones get ahead of it.
	maxWait = 2 * time.Second
)

// PrefixWait is a wait for the beginning of a prompt, which a replica computes for
// an earlier request. A replica looks up what it caches when a request arrives:
// sent before the earlier one has its first event, the request would compute the
// beginning once more, and take longer than if it is held back until then. Its
// methods are safe for concurrent use.
type PrefixWait struct {
	index, pending *prefixindex.Index
	feed           *cachefeed.Feed
	owner          prefixindex.Owner
	links          []prefixindex.Link
	// tokens is the length of the beginning that is waited for.
	tokens   uint32
	deadline time.Duration
}

// Deadline returns when to send the request in any case, on the router's clock.
func (w *PrefixWait) Deadline() time.Duration { return w.deadline }

// Changed returns a channel that is closed when what the replica caches changes
// after the call.
func (w *PrefixWait) Changed() <-chan struct{} { return w.feed.NextChange() }

// Done reports whether the request is to be sent: the replica caches the beginning,
// or no request makes it compute that any more, or the deadline has come.
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

// plannedWait is what a replica would cache of a prompt after a wait.
type plannedWait struct {
	extent prefixindex.Extent
	// backlog are the prompt tokens that the replica computes until then, at most.
	backlog float64
}

// planWait reports whether the request had better wait until the replica has
// computed the beginning of its prompt for an earlier one.
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

// prefixWait returns the wait of the chosen candidate, or nil.
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
