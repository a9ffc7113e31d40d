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
	quietTenantCount       = 4
	noisyTenant            = quietTenantCount
	arrivalPeriod          = 5 * time.Minute
	noisyDeadline          = 20 * time.Second
	quietRequestsPerSecond = 3.0
	quietMeanServiceTime   = 2 * time.Second
)

// noisyLoad is the load of one tenant besides that of the quiet tenants.
type noisyLoad struct {
	requestsPerSecond float64
	// burst is the number of requests that arrive at once, every burstEvery.
	burst           int
	burstEvery      time.Duration
	meanServiceTime time.Duration
}

// job is a simulated request.
type job struct {
	tenant      int
	arrived     time.Duration
	serviceTime time.Duration
}

// event is an arrival, the end of a running request, or the end of the wait of a queued
// one.
type event struct {
	at       time.Duration
	order    int
	job      *job
	ticket   admission.Ticket
	timedOut bool
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a eventQueue) Swap(i, j int)   { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(value any) { *a = append(*a, value.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simulation runs the requests of several tenants on one node in virtual time.
type simulation struct {
	controller *admission.Controller
	// shared makes all requests those of one tenant, as on a node without fair sharing.
	shared         bool
	events         eventQueue
	order          int
	jobs           map[admission.Ticket]*job
	waiting        map[admission.Ticket]bool
	quietLatencies []time.Duration
	quietRefused   int
	// noisyCompleted and noisyRefused count the completed and the refused requests of the
	// noisy tenant.
	noisyCompleted, noisyRefused int
}

func (t *simulation) push(next event) {
	t.order++
	next.order = t.order
	heap.Push(&t.events, next)
}

// scheduleArrivals schedules the arrivals of one tenant, with exponentially distributed gaps
// and service times; a quarter of the mean service time is fixed.
func (t *simulation) scheduleArrivals(random *rand.Rand, tenant int, perSecond float64, mean time.Duration) {
	for at := time.Duration(0); at < arrivalPeriod; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		t.scheduleArrival(random, tenant, at, mean)
	}
}

func (t *simulation) scheduleArrival(random *rand.Rand, tenant int, at, mean time.Duration) {
	serviceTime := time.Duration((0.25 + 0.75*random.ExpFloat64()) * float64(mean))
	t.push(event{at: at, job: &job{tenant: tenant, arrived: at, serviceTime: serviceTime}})
}

// run simulates all requests and returns the p95 of the quiet tenants' latencies.
func (t *simulation) run(seed uint64, load *noisyLoad) time.Duration {
	t.jobs, t.waiting = map[admission.Ticket]*job{}, map[admission.Ticket]bool{}
	for tenant := range quietTenantCount {
		t.scheduleArrivals(rand.New(rand.NewPCG(seed, uint64(tenant))), tenant, quietRequestsPerSecond, quietMeanServiceTime)
	}
	if load != nil {
		random := rand.New(rand.NewPCG(seed, noisyTenant))
		if load.requestsPerSecond > 0 {
			t.scheduleArrivals(random, noisyTenant, load.requestsPerSecond, load.meanServiceTime)
		}
		for at := load.burstEvery; load.burst > 0 && at < arrivalPeriod; at += load.burstEvery {
			for range load.burst {
				t.scheduleArrival(random, noisyTenant, at, load.meanServiceTime)
			}
		}
	}
	for t.events.Len() > 0 {
		t.step(heap.Pop(&t.events).(event))
	}
	slices.Sort(t.quietLatencies)
	return t.quietLatencies[int(math.Ceil(0.95*float64(len(t.quietLatencies))))-1]
}

func (t *simulation) step(next event) {
	switch {
	case next.timedOut:
		if t.waiting[next.ticket] {
			delete(t.waiting, next.ticket)
			t.controller.Abandon(t.name(next.job.tenant), next.ticket)
			t.refuse(next.job)
		}
	case next.ticket != 0:
		t.finish(next)
	default:
		t.arrive(next)
	}
}

func (t *simulation) arrive(next event) {
	arrival := admission.Arrival{Tenant: t.name(next.job.tenant)}
	if next.job.tenant == noisyTenant {
		arrival.Deadline = next.at + noisyDeadline
	}
	decision := t.controller.Arrive(next.at, arrival)
	t.jobs[decision.Ticket] = next.job
	switch decision.Outcome {
	case admission.Admitted:
		t.push(event{at: next.at + next.job.serviceTime, job: next.job, ticket: decision.Ticket})
	case admission.Queued:
		t.waiting[decision.Ticket] = true
		t.push(event{at: decision.Until, job: next.job, ticket: decision.Ticket, timedOut: true})
	default:
		t.refuse(next.job)
	}
}

func (t *simulation) finish(next event) {
	if next.job.tenant == noisyTenant {
		t.noisyCompleted++
	} else {
		t.quietLatencies = append(t.quietLatencies, next.at-next.job.arrived)
	}
	for _, ticket := range t.controller.Release(next.at, next.ticket) {
		delete(t.waiting, ticket)
		granted := t.jobs[ticket]
		t.push(event{at: next.at + granted.serviceTime, job: granted, ticket: ticket})
	}
}

func (t *simulation) refuse(refused *job) {
	if refused.tenant == noisyTenant {
		t.noisyRefused++
		return
	}
	t.quietRefused++
}

func (t *simulation) name(tenant int) string {
	if t.shared {
		return "all"
	}
	return string(rune('a' + tenant))
}

var _ = Describe("Controller with a noisy tenant", func() {
	options := admission.Options{Concurrent: 64, Reserved: 8, Queued: 1024, QueueTimeout: 30 * time.Second}
	measure := func(seed uint64, shared bool, load *noisyLoad) (*simulation, time.Duration) {
		simulated := &simulation{controller: admission.New(options), shared: shared}
		return simulated, simulated.run(seed, load)
	}

	DescribeTable("keeps the p95 of the quiet tenants within 1.3 times that without a noisy tenant", func(load noisyLoad) {
		for seed := uint64(1); seed <= 3; seed++ {
			_, quiet := measure(seed, false, nil)
			fair, noisy := measure(seed, false, &load)
			unfair, queued := measure(seed, true, &load)
			ratio := float64(noisy) / float64(quiet)
			GinkgoWriter.Printf("seed %d: p95 of the quiet tenants: alone %v, with a noisy tenant %v (ratio %.3f), without fair sharing %v (ratio %.1f, %d refused); noisy tenant: %d completed, %d refused\n",
				seed, quiet, noisy, ratio, queued, float64(queued)/float64(quiet), unfair.quietRefused, fair.noisyCompleted, fair.noisyRefused)
			Expect(ratio).To(BeNumerically("<=", 1.3))
			Expect(fair.quietRefused).To(BeZero())
			Expect(fair.noisyCompleted).To(BeNumerically(">", 0))
			Expect(fair.noisyRefused).To(BeNumerically(">", 0))
			Expect(float64(queued)).To(BeNumerically(">", 1.3*float64(quiet)), "without fair sharing, the noisy tenant should raise the p95 of the quiet tenants")
		}
	},
		Entry("that sends many short requests", noisyLoad{requestsPerSecond: 200, meanServiceTime: 500 * time.Millisecond}),
		Entry("whose requests take as long as those of the quiet tenants", noisyLoad{requestsPerSecond: 100, meanServiceTime: quietMeanServiceTime}),
		Entry("that sends bursts of long requests", noisyLoad{burst: 500, burstEvery: time.Minute, meanServiceTime: 40 * time.Second}),
	)
})
