package dataplane

import (
	"context"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// longestWarmUp is how long prompts are held back at most, from the first view
	// with pools on.
	longestWarmUp = time.Second
	// warmShare is the share of a pool's replicas whose kept parts are known when a
	// node no longer holds prompts back.
	warmShare = 0.75
)

// warmUp holds prompts back at a node that has just started, until it knows what
// most replicas keep. Sent before, they would be read from their beginnings where
// other replicas keep these: after a start of all nodes, more at once than the
// replicas read in seconds.
type warmUp struct {
	mutex sync.Mutex
	// until is when prompts are sent in any case; 0 before pools are known.
	until time.Duration
	over  bool
	// ended is closed when the warm-up is over.
	ended chan struct{}
}

func newWarmUp() *warmUp { return &warmUp{ended: make(chan struct{})} }

// look ends the warm-up if it is time, or if whole tells of enough replicas that
// what they keep is known.
func (u *warmUp) look(now time.Duration, view *routing.View, whole func(address string) bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.over || view == nil || len(view.Pools) == 0 {
		return
	}
	listed, known := 0, 0
	for _, pool := range view.Pools {
		for at := range pool.Replicas {
			listed++
			if whole(pool.Replicas[at].Address) {
				known++
			}
		}
	}
	if u.until == 0 {
		u.until = now + longestWarmUp
	}
	enough := listed > 0 && float64(known) >= warmShare*float64(listed)
	if now >= u.until || enough {
		u.over = true
		close(u.ended)
	}
}

// wait holds a prompt back until the warm-up is over or ctx ends.
func (u *warmUp) wait(ctx context.Context) {
	select {
	case <-u.ended:
	case <-ctx.Done():
	}
}

// lookWarm looks whether the node knows enough of what replicas keep.
func (s *Server) lookWarm() {
	s.warmUp.look(s.options.Clock(), s.options.Source.View(), s.router.ChunksComplete)
}

// holdPrompt holds the work's prompt back while the node warms up.
func (s *Server) holdPrompt(w *work) {
	if s.options.Edges.Reports != nil && w.destination.WebService == nil {
		s.warmUp.wait(w.ctx)
	}
}
