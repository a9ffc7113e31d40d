package sim

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// requestEvery is the mean time between two requests at a node.
	requestEvery = 60 * time.Millisecond
	// minRun, shortRun and longRun bound how long requests run on a replica. Most
	// are short, so that replicas are idle at times.
	minRun   = 10 * time.Millisecond
	shortRun = 50 * time.Millisecond
	longRun  = 500 * time.Millisecond
	// longRunProbability is the probability of a long request.
	longRunProbability = 0.08
	// admissionsOnWake is how many requests a node admits after a suspension
	// before control runs.
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
	process uint64
	replica *replica
	version string
	view    *routing.View
}

// scheduleTraffic lets requests arrive at random instants.
func (n *node) scheduleTraffic(process uint64) {
	var next func()
	next = func() {
		if n.process != process || !n.up {
			return
		}
		if !n.frozen {
			n.admit()
		}
		n.world.after(n.world.upTo(2*requestEvery), next)
	}
	n.world.after(n.world.upTo(2*requestEvery), next)
}

// admissionView returns the view that the node admits under now, or nil while it
// rejects traffic.
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

// admit sends one request with a random key to a random admitting replica.
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
	n.world.checks.requestAdmitted(n, view, key)
	pool := view.Pools[pick(n.world, poolNames)]
	if pool == nil {
		return
	}
	admitting := lo.Filter(pool.Replicas, func(one routing.Replica, _ int) bool { return one.Admitting })
	if len(admitting) == 0 {
		return
	}
	chosen := pick(n.world, admitting)
	n.sendRequest(&request{
		node:    n,
		process: n.process,
		replica: n.world.replicas[chosen.Address],
		version: chosen.WeightVersion,
		view:    view,
	})
}

// sendRequest counts a request as in flight from before it leaves until its end
// is known.
func (n *node) sendRequest(sent *request) {
	n.world.counts.Requests++
	n.world.checks.requestSent(sent)
	n.inFlight[sent.replica.address]++
	n.world.after(n.world.requestLatency(), sent.arrive)
}

// requestLatency is the time from the last look at the view to the arrival at the
// replica. Some requests are slow, by less than the margin after which other
// nodes count on a fence.
func (w *simulation) requestLatency() time.Duration {
	const slowProbability = 0.3
	const slowest = control.DefaultFenceMargin - 20*time.Millisecond
	latency := minLatency + w.upTo(replicaLatency)
	if w.chance(slowProbability) {
		latency += slowest/2 + w.upTo(slowest/2)
	}
	return latency
}

// arrive starts the request on its replica.
func (r *request) arrive() {
	target := r.replica
	if !target.up {
		r.end()
		return
	}
	if target.rejects(r) {
		r.node.world.counts.Refusals++
		r.end()
		return
	}
	r.node.world.checks.requestArrived(r)
	r.node.world.checks.requestStarted(r)
	target.active++
	incarnation := target.incarnation
	world := r.node.world
	world.after(world.runTime(), func() {
		if target.incarnation == incarnation && target.up {
			target.active--
			target.loadWhenIdle()
		}
		world.after(minLatency+world.upTo(replicaLatency), r.end)
	})
}

func (w *simulation) runTime() time.Duration {
	if w.chance(longRunProbability) {
		return minRun + w.upTo(longRun)
	}
	return minRun + w.upTo(shortRun)
}

func (r *request) end() {
	if r.node.process == r.process {
		r.node.inFlight[r.replica.address]--
	}
}
