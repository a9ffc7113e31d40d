package dataplane

import (
	"context"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// viewFollower brings what depends on the view and on the live nodes up to date. Its
// state belongs to the goroutine that runs Serve.
type viewFollower struct {
	server *Server
	// last is the view that was followed last.
	last *routing.View
}

// Serve implements suture.Service: it looks at the newest view and the live nodes
// until ctx ends.
func (f *viewFollower) Serve(ctx context.Context) error {
	ticker := time.NewTicker(f.server.options.ViewInterval)
	defer ticker.Stop()
	for {
		f.follow(f.server.options.Source.View())
		f.server.slowStart.SetNodes(f.server.options.Clock(), f.server.options.Peers())
		f.server.feeds.ResyncAfterGaps()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// String implements fmt.Stringer for the supervisor's messages.
func (f *viewFollower) String() string { return "view follower" }

// follow starts and stops feeds, and forgets tenants and back ends that a new view does
// not list.
func (f *viewFollower) follow(view *routing.View) {
	if view == nil || view == f.last {
		return
	}
	f.last = view
	f.server.feeds.Reconcile(view)
	f.server.limiter.Retain(view)
	f.server.staleBackends.Retain(view)
	f.server.health.Follow(view)
}
