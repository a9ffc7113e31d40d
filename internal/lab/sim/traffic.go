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

// request is one admitted request.
type request struct {
	node    *node
	process uint64
	replica *replica
	version string
	view    *routing.View
}

// traffic is what a node admits: the requests of callers, with random keys.
type traffic struct {
	node *node
	// inFlight counts the requests of this process by the address of their replica.
	inFlight map[string]int
	// staleView is the last view of the former process.
	staleView *routing.View
	// previousView is of the revision before the one in force.
	previousView *routing.View
}

// reset begins the traffic of a new process.
func (t *traffic) reset() { t.inFlight = map[string]int{} }

// InFlight implements routing.LoadReader.
func (t *traffic) InFlight(address string) int {
	if t.node.env.broken(BreakDrainIgnoresRunning) {
		return 0
	}
	return t.inFlight[address]
}

// schedule lets requests arrive at random instants.
func (t *traffic) schedule(process uint64) {
	n := t.node
	var next func()
	next = func() {
		if n.process != process || !n.up {
			return
		}
		if !n.frozen {
			t.admit()
		}
		n.env.after(n.env.upTo(2*requestEvery), next)
	}
	n.env.after(n.env.upTo(2*requestEvery), next)
}

// admissionView returns the view that the node admits under now, or nil while it
// rejects traffic.
func (t *traffic) admissionView() *routing.View {
	n := t.node
	switch {
	case n.serving():
		return n.view
	case n.env.broken(BreakFenceIgnored) && n.view != nil && n.serveUntil > 0:
		return n.view
	case n.env.broken(BreakStaleConfigAfterRestart), n.env.broken(BreakOldDiskServed):
		return t.staleView
	}
	return nil
}

// admit sends one request with a random key to a random admitting replica.
func (t *traffic) admit() {
	n := t.node
	view := t.admissionView()
	if view == nil || len(n.keys.keys) == 0 {
		return
	}
	key := pick(n.env.randomness, n.keys.keys)
	tenant := view.Tenants[key.digest]
	if tenant == nil {
		return
	}
	n.checks.requestAdmitted(n, view, key)
	pool := view.Pools[pick(n.env.randomness, poolNames)]
	if pool == nil {
		return
	}
	admitting := lo.Filter(pool.Replicas, func(one routing.Replica, _ int) bool { return one.Admitting })
	if len(admitting) == 0 {
		return
	}
	chosen := pick(n.env.randomness, admitting)
	t.send(&request{
		node:    n,
		process: n.process,
		replica: n.platform.replicas[chosen.Address],
		version: chosen.WeightVersion,
		view:    view,
	})
}

// send counts a request as in flight from before it leaves until its end is known.
func (t *traffic) send(sent *request) {
	n := t.node
	n.env.counts.Requests++
	n.checks.requestSent(sent)
	t.inFlight[sent.replica.address]++
	n.env.after(requestLatency(n.env), sent.arrive)
}

// requestLatency is the time from the last look at the view to the arrival at the
// replica. Some requests are slow, by less than the margin after which other
// nodes count on a fence.
func requestLatency(env *environment) time.Duration {
	const slowProbability = 0.3
	const slowest = control.DefaultFenceMargin - 20*time.Millisecond
	latency := minLatency + env.upTo(replicaLatency)
	if env.chance(slowProbability) {
		latency += slowest/2 + env.upTo(slowest/2)
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
		r.node.env.counts.Refusals++
		r.end()
		return
	}
	r.node.checks.requestArrived(r)
	r.node.checks.requestStarted(r)
	target.active++
	incarnation := target.incarnation
	env := r.node.env
	env.after(runTime(env), func() {
		if target.incarnation == incarnation && target.up {
			target.active--
			target.loadWhenIdle()
		}
		env.after(minLatency+env.upTo(replicaLatency), r.end)
	})
}

func runTime(env *environment) time.Duration {
	if env.chance(longRunProbability) {
		return minRun + env.upTo(longRun)
	}
	return minRun + env.upTo(shortRun)
}

func (r *request) end() {
	if r.node.process == r.process {
		r.node.traffic.inFlight[r.replica.address]--
	}
}
