// Package startupgate delays prompts on a node that has just started until the node knows
// which chunks most replicas have cached.
//
// Without the delay, prompts would be computed from their beginning on one replica although
// another replica has that beginning cached. If all nodes start at the same time, this would
// occupy the replicas for many seconds, longer than the delay. Prompts are delayed only on
// nodes that read reports page by page, because an event stream begins with all cached chunks.
//
// A Gate opens once and stays open. It does not read the clock: its maximum wait starts with
// the first call of Update with a view that has pools. It is safe for concurrent use.
package startupgate

import (
	"context"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// maxWait is the maximum time that prompts wait. It starts with the first view that has
	// pools.
	maxWait = time.Second
	// coverage is the fraction of the replicas whose cached chunks must be known for the
	// gate to open before maxWait has passed.
	coverage = 0.75
)

// Gate delays prompts until it opens.
type Gate struct {
	mutex sync.Mutex
	// deadline is when the gate opens at the latest; 0 before pools are known.
	deadline time.Duration
	open     bool
	// opened is closed when the gate opens.
	opened chan struct{}
}

// New returns a closed gate.
func New() *Gate { return &Gate{opened: make(chan struct{})} }

// Update opens the gate if its deadline has passed, or if the cached chunks of enough replicas
// are known. chunksComplete reports whether all cached chunks of a replica are known.
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
