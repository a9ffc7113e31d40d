package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// minWaitTokens is the smallest beginning of a prompt, in tokens, that is worth
	// waiting for.
	minWaitTokens = 256
	// waitTokenTolerance is how many tokens of the parts awaited a replica may leave
	// out, as it keeps whole blocks.
	waitTokenTolerance = 64
	// waitFactor and waitMargin bound a wait: it ends at so many times the
	// expected time, and a margin.
	waitFactor = 1.5
	waitMargin = 100 * time.Millisecond
	// maxWait bounds it in any case: a request that is held back has no place in
	// the replica's queue.
	maxWait = 2 * time.Second
)

// PrefixWait is the beginning of a prompt that a replica reads for an earlier
// request. A replica looks up what it keeps when a request arrives: sent before
// the earlier one has its first event, the request would read the beginning once
// more, and take longer than if it is held back until then.
type PrefixWait struct {
	router   *Router
	feed     *feed
	links    []prefixindex.Link
	tokens   uint32
	deadline time.Duration
}

// Deadline is when to send the request in any case.
func (a *PrefixWait) Deadline() time.Duration { return a.deadline }

// Changed returns a channel that is closed when what the replica keeps changes
// after the call.
func (a *PrefixWait) Changed() <-chan struct{} { return a.feed.nextChange() }

// Done tells whether there is nothing to wait for any more: the replica keeps the
// beginning, or nobody makes it read it, or it is time.
func (a *PrefixWait) Done(now time.Duration) bool {
	if now >= a.deadline {
		return true
	}
	var cached, pending prefixindex.Overlaps
	a.router.index.Overlaps(now, a.links, &cached)
	if cached.Of(a.feed.owner).Likely.Tokens+waitTokenTolerance >= a.tokens {
		return true
	}
	a.router.pending.Overlaps(now, a.links, &pending)
	return pending.Of(a.feed.owner).Likely.Tokens < a.tokens
}

// plannedWait is what a replica would keep of a prompt after a wait.
type plannedWait struct {
	extent prefixindex.Extent
	// backlog are the tokens that the replica reads until then, at most.
	backlog float64
}

// planWait tells whether the request had better wait until the replica has read
// the beginning of its prompt for an earlier one. The router's lock is held.
func (r *Router) planWait(p *prompt, state *replicaState, cached prefixindex.Extent, queuedTokens float64) (planned plannedWait, beneficial bool) {
	if r.options.Disabled.PrefixWaits {
		return plannedWait{}, false
	}
	pending := p.pending.Of(state.owner).Likely
	if pending.Tokens < cached.Tokens+minWaitTokens {
		return plannedWait{}, false
	}
	planned = plannedWait{extent: pending, backlog: state.queue.unread() + state.shared.sum.prefill()}
	saved := float64(pending.Tokens - cached.Tokens)
	return planned, planned.backlog < queuedTokens+saved
}

// prefixWait describes the wait that the chosen candidate asks for, or is nil. The
// router's lock is held.
func (r *Router) prefixWait(req *Request, chosen *scoredCandidate) *PrefixWait {
	if !chosen.waits {
		return nil
	}
	expected := chosen.timeTerms.slowness * req.latency.perToken * chosen.timeTerms.queuedTokens
	wait := min(fromMilliseconds(waitFactor*expected)+waitMargin, maxWait)
	if req.MaxWait > 0 {
		wait = min(wait, req.MaxWait)
	}
	return &PrefixWait{
		router:   r,
		feed:     chosen.state.feed,
		links:    chosen.prompt.links,
		tokens:   chosen.overlap.Likely.Tokens,
		deadline: req.Now + wait,
	}
}

// nextChange returns a channel that is closed at the next change of what the
// holder keeps.
func (f *feed) nextChange() <-chan struct{} {
	f.mutex.Lock()
	defer f.unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// notifyChange tells who waits that what the holder keeps has changed. The feed's
// lock is held.
func (f *feed) notifyChange() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}
