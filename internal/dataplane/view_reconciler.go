package dataplane

import (
	"context"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// viewReconciler updates the state that depends on the newest view and on the live nodes. Its
// fields belong to the goroutine that runs Serve.
type viewReconciler struct {
	server *Server
	// last is the view that was reconciled last.
	last *routing.View
}

// Serve implements suture.Service: it reads the newest view and the live nodes periodically
// until ctx ends, and resynchronizes feeds that have missed events.
func (r *viewReconciler) Serve(ctx context.Context) error {
	ticker := time.NewTicker(r.server.options.ViewInterval)
	defer ticker.Stop()
	for {
		if view := r.server.options.Source.View(); view != nil {
			r.reconcile(view)
			r.server.dispatcher.WithdrawOutdated(view)
		}
		r.server.slowStart.SetNodes(r.server.options.Clock(), r.server.options.Peers())
		r.server.feeds.ResyncAfterGaps()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// String implements fmt.Stringer. The supervisor logs the name.
func (r *viewReconciler) String() string { return "view reconciler" }

// reconcile starts and stops feeds, and forgets tenants and back ends that a new view does
// not list.
func (r *viewReconciler) reconcile(view *routing.View) {
	if view == r.last {
		return
	}
	r.last = view
	r.server.feeds.Reconcile(view)
	r.server.limiter.Retain(view)
	r.server.staleBackends.Retain(view)
	r.server.health.Follow(view)
}
