package dataplane

import (
	"context"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// maxStartupWait is the longest time for which prompts wait, from the first view with
	// pools on.
	maxStartupWait = time.Second
	// startupCoverage is the fraction of the replicas whose cached chunks are known when
	// prompts no longer wait.
	startupCoverage = 0.75
)

// startupGate delays prompts at a node that has just started until it knows what most
// replicas have cached. Prompts that are sent earlier would be computed from their
// beginnings although other replicas have these cached; after a start of all nodes that
// is more than the replicas compute in seconds.
type startupGate struct {
	mutex sync.Mutex
	// deadline is when the gate opens in any case; 0 before pools are known.
	deadline time.Duration
	open     bool
	// opened is closed when the gate opens.
	opened chan struct{}
}

func newStartupGate() *startupGate { return &startupGate{opened: make(chan struct{})} }

// update opens the gate if its deadline has passed, or if the cached chunks of enough
// replicas are known.
func (u *startupGate) update(now time.Duration, view *routing.View, chunksComplete func(address string) bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.open || view == nil || len(view.Pools) == 0 {
		return
	}
	total, complete := 0, 0
	for _, pool := range view.Pools {
		for i := range pool.Replicas {
			total++
			if chunksComplete(pool.Replicas[i].Address) {
				complete++
			}
		}
	}
	if u.deadline == 0 {
		u.deadline = now + maxStartupWait
	}
	enough := total > 0 && float64(complete) >= startupCoverage*float64(total)
	if now >= u.deadline || enough {
		u.open = true
		close(u.opened)
	}
}

// wait blocks until the gate is open or ctx ends.
func (u *startupGate) wait(ctx context.Context) {
	select {
	case <-u.opened:
	case <-ctx.Done():
	}
}

// updateStartupGate opens the start-up gate if that is due.
func (s *Server) updateStartupGate() {
	s.startup.update(s.options.Clock(), s.options.Source.View(), s.router.ChunksComplete)
}

// waitForStartup delays a prompt until the start-up gate is open. Where back ends push
// their events there is no gate.
func (s *Server) waitForStartup(w *work) {
	if s.options.Edges.Reports != nil && w.destination.WebService == nil {
		s.startup.wait(w.ctx)
	}
}
