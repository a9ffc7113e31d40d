package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// leastAwaited is the smallest beginning of a prompt, in tokens, that is worth
	// waiting for.
	leastAwaited = 256
	// awaitedRounding is how many tokens of the parts awaited a replica may leave
	// out, as it keeps whole blocks.
	awaitedRounding = 64
	// awaitStretch and awaitMargin bound a wait: it ends at so many times the
	// expected time, and a margin.
	awaitStretch = 1.5
	awaitMargin  = 100 * time.Millisecond
	// mostAwait bounds it in any case: a request that is held back has no place in
	// the replica's queue.
	mostAwait = 2 * time.Second
)

// Awaited is the beginning of a prompt that a replica reads for an earlier
// request. A replica looks up what it keeps when a request arrives: sent before
// the earlier one has its first event, the request would read the beginning once
// more, and take longer than if it is held back until then.
type Awaited struct {
	router *Router
	feed   *feed
	links  []prefixindex.Link
	tokens uint32
	until  time.Duration
}

// Until is when to send the request in any case.
func (a *Awaited) Until() time.Duration { return a.until }

// Changed returns a channel that is closed when what the replica keeps changes
// after the call.
func (a *Awaited) Changed() <-chan struct{} { return a.feed.nextChange() }

// Over tells whether there is nothing to wait for any more: the replica keeps the
// beginning, or nobody makes it read it, or it is time.
func (a *Awaited) Over(now time.Duration) bool {
	if now >= a.until {
		return true
	}
	var kept, pending prefixindex.Overlaps
	a.router.index.Overlaps(now, a.links, &kept)
	if kept.Of(a.feed.holder).Likely.Tokens+awaitedRounding >= a.tokens {
		return true
	}
	a.router.pending.Overlaps(now, a.links, &pending)
	return pending.Of(a.feed.holder).Likely.Tokens < a.tokens
}

// awaits is what a replica would keep of a prompt after a wait.
type awaits struct {
	extent prefixindex.Extent
	// backlog are the tokens that the replica reads until then, at most.
	backlog float64
}

// planAwait tells whether the request had better wait until the replica has read
// the beginning of its prompt for an earlier one. The router's lock is held.
func (r *Router) planAwait(p *prompt, state *replicaState, kept prefixindex.Extent, ahead float64) (planned awaits, worthIt bool) {
	if r.options.Off.Waiting {
		return awaits{}, false
	}
	pending := p.pending.Of(state.holder).Likely
	if pending.Tokens < kept.Tokens+leastAwaited {
		return awaits{}, false
	}
	planned = awaits{extent: pending, backlog: state.queue.left() + state.shared.sum.prefill()}
	saved := float64(pending.Tokens - kept.Tokens)
	return planned, planned.backlog < ahead+saved
}

// awaited describes the wait that the chosen candidate asks for, or is nil. The
// router's lock is held.
func (r *Router) awaited(req *Request, chosen *scoredCandidate) *Awaited {
	if !chosen.awaits {
		return nil
	}
	expected := chosen.timed.slowness * req.pace.perToken * chosen.timed.ahead
	wait := min(fromMilliseconds(awaitStretch*expected)+awaitMargin, mostAwait)
	if req.MaxWait > 0 {
		wait = min(wait, req.MaxWait)
	}
	return &Awaited{
		router: r,
		feed:   chosen.state.feed,
		links:  chosen.prompt.links,
		tokens: chosen.overlap.Likely.Tokens,
		until:  req.Now + wait,
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

// announce tells who waits that what the holder keeps has changed. The feed's
// lock is held.
func (f *feed) announce() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}
