// Package startupgate delays prompts at a node that has just started until it knows what
// most replicas have cached.
//
// Prompts that are sent earlier would be computed from their beginnings although other
// replicas have these cached. When all nodes start at once, that would occupy the replicas for
// many seconds, longer than the wait takes. Prompts wait only
// at nodes that read reports page by page: event streams begin with everything that is cached.
//
// A Gate opens once and stays open. It reads no clock: the start is the first Update with a
// view that has pools. It may be used concurrently.
package startupgate

import (
	"context"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// maxWait is the longest time for which prompts wait, from the first view with
	// pools on.
	maxWait = time.Second
	// coverage is the fraction of the replicas whose cached chunks are known when
	// prompts no longer wait.
	coverage = 0.75
)

// Gate delays prompts until it opens.
type Gate struct {
	mutex sync.Mutex
	// deadline is when the gate opens in any case; 0 before pools are known.
	deadline time.Duration
	open     bool
	// opened is closed when the gate opens.
	opened chan struct{}
}

// New returns a closed gate.
func New() *Gate { return &Gate{opened: make(chan struct{})} }

// Update opens the gate if its deadline has passed, or if the cached chunks of enough
// replicas are known.
func (g *Gate) Update(now time.Duration, view *routing.View, chunksComplete func(address string) bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.open || view == nil || len(view.Pools) == 0 {
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
	if g.deadline == 0 {
		g.deadline = now + maxWait
	}
	enough := total > 0 && float64(complete) >= coverage*float64(total)
	if now >= g.deadline || enough {
		g.open = true
		close(g.opened)
	}
}

// Wait blocks until the gate is open or ctx ends.
func (g *Gate) Wait(ctx context.Context) {
	select {
	case <-g.opened:
	case <-ctx.Done():
	}
}
