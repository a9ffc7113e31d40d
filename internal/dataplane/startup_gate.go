package dataplane

import (
	"context"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// maxStartupWait is how long prompts are held back at most, from the first view
	// with pools on.
	maxStartupWait = time.Second
	// startupCoverage is the share of a pool's replicas whose kept parts are known when a
	// node no longer holds prompts back.
	startupCoverage = 0.75
)

// startup holds prompts back at a node that has just started, until it knows what
// most replicas keep. Sent before, they would be read from their beginnings where
// other replicas keep these: after a start of all nodes, more at once than the
// replicas read in seconds.
type startupGate struct {
	mutex sync.Mutex
	// deadline is when prompts are sent in any case; 0 before pools are known.
	deadline time.Duration
	open     bool
	// opened is closed when the warm-up is over.
	opened chan struct{}
}

func newStartupGate() *startupGate { return &startupGate{opened: make(chan struct{})} }

// update ends the warm-up if it is time, or if whole tells of enough replicas that
// what they keep is known.
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

// wait holds a prompt back until the warm-up is over or ctx ends.
func (u *startupGate) wait(ctx context.Context) {
	select {
	case <-u.opened:
	case <-ctx.Done():
	}
}

// updateStartupGate looks whether the node knows enough of what replicas keep.
func (s *Server) updateStartupGate() {
	s.startup.update(s.options.Clock(), s.options.Source.View(), s.router.ChunksComplete)
}

// waitForStartup holds the work's prompt back while the node warms up.
func (s *Server) waitForStartup(w *work) {
	if s.options.Edges.Reports != nil && w.destination.WebService == nil {
		s.startup.wait(w.ctx)
	}
}
