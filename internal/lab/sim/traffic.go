package sim

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// requestEvery is the mean time between two requests at a node.
	requestEvery = 60 * time.Millisecond
	// minRun and runSpread bound how long a request runs on a replica.
	minRun    = 20 * time.Millisecond
	runSpread = 500 * time.Millisecond
	// admissionsOnWake is how many requests a node takes after a freeze before
	// control runs.
	admissionsOnWake = 4
)

// tenantKey is a key that callers use, in force or not.
type tenantKey struct {
	tenant string
	name   string
	digest routing.KeyDigest
}

// request is one admitted request.
type request struct {
	node    *node
	life    uint64
	replica *replica
	version string
	view    *routing.View
}

// scheduleTraffic lets requests come at random instants.
func (n *node) scheduleTraffic(life uint64) {
	var next func()
	next = func() {
		if n.life != life || !n.up {
			return
		}
		if !n.frozen {
			n.admit()
		}
		n.world.after(n.world.upTo(2*requestEvery), next)
	}
	n.world.after(n.world.upTo(2*requestEvery), next)
}

// admissionView returns the view that the node admits under now, or nil while
// it refuses traffic.
func (n *node) admissionView() *routing.View {
	switch {
	case n.serving():
		return n.view
	case n.world.broken(BreakFenceIgnored) && n.view != nil && n.serveUntil > 0:
		return n.view
	case n.world.broken(BreakStaleConfigAfterRestart):
		return n.staleView
	}
	return nil
}

// admit takes one request with a random key to a random admitting replica.
func (n *node) admit() {
	view := n.admissionView()
	if view == nil || len(n.world.keys) == 0 {
		return
	}
	key := pick(n.world, n.world.keys)
	tenant := view.Tenants[key.digest]
	if tenant == nil {
		return
	}
	n.world.checks.admitted(n, view, key)
	pool := view.Pools[pick(n.world, poolNames)]
	if pool == nil {
		return
	}
	admitting := lo.Filter(pool.Replicas, func(one routing.Replica, _ int) bool { return one.Admitting })
	if len(admitting) == 0 {
		return
	}
	chosen := pick(n.world, admitting)
	n.send(&request{
		node:    n,
		life:    n.life,
		replica: n.world.replicas[chosen.Address],
		version: chosen.WeightVersion,
		view:    view,
	})
}

// send counts a request as running from before it leaves until its end is known.
func (n *node) send(sent *request) {
	n.world.counts.Requests++
	n.world.checks.sent(sent)
	n.inFlight[sent.replica.address]++
	n.world.after(minLatency+n.world.upTo(replicaLatency), sent.arrive)
}

// arrive starts the request on its replica.
func (r *request) arrive() {
	target := r.replica
	if !target.up {
		r.end()
		return
	}
	r.node.world.checks.arrived(r)
	target.active++
	incarnation := target.incarnation
	world := r.node.world
	world.after(minRun+world.upTo(runSpread), func() {
		if target.incarnation == incarnation && target.up {
			target.active--
		}
		world.after(minLatency+world.upTo(replicaLatency), r.end)
	})
}

func (r *request) end() {
	if r.node.life == r.life {
		r.node.inFlight[r.replica.address]--
	}
}
