package admission_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/admission"
)

const (
	quietTenants   = 4
	stormTenant    = quietTenants
	measuredTime   = 5 * time.Minute
	stormDeadline  = 20 * time.Second
	quietPerSecond = 3.0
	quietMean      = 2 * time.Second
)

// storm is what one tenant does beside the quiet ones.
type storm struct {
	perSecond float64
	// burst requests come at once, every burstEvery.
	burst      int
	burstEvery time.Duration
	mean       time.Duration
}

// job is a request of the measurement.
type job struct {
	tenant  int
	arrived time.Duration
	runs    time.Duration
}

// happening is an arrival, the end of a running request, or the end of a wait.
type happening struct {
	at     time.Duration
	order  int
	job    *job
	ends   admission.Ticket
	gaveUp bool
}

// agenda is a heap of happenings.
type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int)   { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(value any) { *a = append(*a, value.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// trial runs tenants on one node in virtual time.
type trial struct {
	controller *admission.Controller
	// shared puts all requests into one queue, as a node without fair sharing.
	shared    bool
	agenda    agenda
	order     int
	jobs      map[admission.Ticket]*job
	waiting   map[admission.Ticket]bool
	latencies []time.Duration
	refused   int
	// stormEnded counts what was done for the storm, stormShed what it was
	// refused.
	stormEnded, stormShed int
}

func (t *trial) push(next happening) {
	t.order++
	next.order = t.order
	heap.Push(&t.agenda, next)
}

// draw returns arrivals of one tenant with exponential gaps and run times.
func (t *trial) draw(random *rand.Rand, tenant int, perSecond float64, mean time.Duration) {
	for at := time.Duration(0); at < measuredTime; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		t.arrival(random, tenant, at, mean)
	}
}

func (t *trial) arrival(random *rand.Rand, tenant int, at, mean time.Duration) {
	runs := time.Duration((0.25 + 0.75*random.ExpFloat64()) * float64(mean))
	t.push(happening{at: at, job: &job{tenant: tenant, arrived: at, runs: runs}})
}

// run returns the p95 of the quiet tenants' latencies.
func (t *trial) run(seed uint64, other *storm) time.Duration {
	t.jobs, t.waiting = map[admission.Ticket]*job{}, map[admission.Ticket]bool{}
	for tenant := range quietTenants {
		t.draw(rand.New(rand.NewPCG(seed, uint64(tenant))), tenant, quietPerSecond, quietMean)
	}
	if other != nil {
		random := rand.New(rand.NewPCG(seed, stormTenant))
		if other.perSecond > 0 {
			t.draw(random, stormTenant, other.perSecond, other.mean)
		}
		for at := other.burstEvery; other.burst > 0 && at < measuredTime; at += other.burstEvery {
			for range other.burst {
				t.arrival(random, stormTenant, at, other.mean)
			}
		}
	}
	for t.agenda.Len() > 0 {
		t.step(heap.Pop(&t.agenda).(happening))
	}
	slices.Sort(t.latencies)
	return t.latencies[int(math.Ceil(0.95*float64(len(t.latencies))))-1]
}

func (t *trial) step(next happening) {
	switch {
	case next.gaveUp:
		if t.waiting[next.ends] {
			delete(t.waiting, next.ends)
			t.controller.Abandon(t.name(next.job.tenant), next.ends)
			t.refuse(next.job)
		}
	case next.ends != 0:
		t.finish(next)
	default:
		t.arrive(next)
	}
}

func (t *trial) arrive(next happening) {
	arrival := admission.Arrival{Tenant: t.name(next.job.tenant)}
	if next.job.tenant == stormTenant {
		arrival.Deadline = next.at + stormDeadline
	}
	decision := t.controller.Arrive(next.at, arrival)
	t.jobs[decision.Ticket] = next.job
	switch decision.Outcome {
	case admission.Admitted:
		t.push(happening{at: next.at + next.job.runs, job: next.job, ends: decision.Ticket})
	case admission.Queued:
		t.waiting[decision.Ticket] = true
		t.push(happening{at: decision.Until, job: next.job, ends: decision.Ticket, gaveUp: true})
	default:
		t.refuse(next.job)
	}
}

func (t *trial) finish(next happening) {
	if next.job.tenant == stormTenant {
		t.stormEnded++
	} else {
		t.latencies = append(t.latencies, next.at-next.job.arrived)
	}
	for _, ticket := range t.controller.Release(next.at, next.ends) {
		delete(t.waiting, ticket)
		granted := t.jobs[ticket]
		t.push(happening{at: next.at + granted.runs, job: granted, ends: ticket})
	}
}

func (t *trial) refuse(refused *job) {
	if refused.tenant == stormTenant {
		t.stormShed++
		return
	}
	t.refused++
}

func (t *trial) name(tenant int) string {
	if t.shared {
		return "all"
	}
	return string(rune('a' + tenant))
}

var _ = Describe("A storm of one tenant", func() {
	options := admission.Options{Concurrent: 64, Reserved: 8, Queued: 1024, QueueTimeout: 30 * time.Second}
	measure := func(seed uint64, shared bool, other *storm) (*trial, time.Duration) {
		run := &trial{controller: admission.New(options), shared: shared}
		return run, run.run(seed, other)
	}

	DescribeTable("leaves the others' p95 within 1.3 of quiet", func(other storm) {
		for seed := uint64(1); seed <= 3; seed++ {
			_, quiet := measure(seed, false, nil)
			fair, stormy := measure(seed, false, &other)
			unfair, queued := measure(seed, true, &other)
			ratio := float64(stormy) / float64(quiet)
			GinkgoWriter.Printf("seed %d: p95 quiet %v, storm %v (ratio %.3f), one queue for all %v (ratio %.1f, %d refused); storm: %d done, %d shed\n",
				seed, quiet, stormy, ratio, queued, float64(queued)/float64(quiet), unfair.refused, fair.stormEnded, fair.stormShed)
			Expect(ratio).To(BeNumerically("<=", 1.3))
			Expect(fair.refused).To(BeZero())
			Expect(fair.stormEnded).To(BeNumerically(">", 0))
			Expect(fair.stormShed).To(BeNumerically(">", 0))
			Expect(float64(queued)).To(BeNumerically(">", 1.3*float64(quiet)), "without fair sharing the storm is felt")
		}
	},
		Entry("of many short requests", storm{perSecond: 200, mean: 500 * time.Millisecond}),
		Entry("of requests like the others'", storm{perSecond: 100, mean: quietMean}),
		Entry("of long requests that come at once", storm{burst: 500, burstEvery: time.Minute, mean: 40 * time.Second}),
	)
})
