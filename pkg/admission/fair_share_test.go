package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/admission"
)

// node is a controller with a record of the tenant of each ticket, and of the running
// requests of each tenant.
type node struct {
	*admission.Controller
	tenants map[admission.Ticket]string
	running map[string][]admission.Ticket
}

func newNode(options admission.Options) *node {
	return &node{
		Controller: admission.New(options),
		tenants:    map[admission.Ticket]string{},
		running:    map[string][]admission.Ticket{},
	}
}

func (n *node) arrive(now time.Duration, tenant string, weight uint32) admission.Decision {
	decision := n.Arrive(now, admission.Arrival{Tenant: tenant, Limits: admission.Limits{Weight: weight}})
	n.tenants[decision.Ticket] = tenant
	if decision.Outcome == admission.Admitted {
		n.running[tenant] = append(n.running[tenant], decision.Ticket)
	}
	return decision
}

// release ends a tenant's oldest request, and returns the tenants that got slots as a
// result.
func (n *node) release(now time.Duration, tenant string) []string {
	ticket := n.running[tenant][0]
	n.running[tenant] = n.running[tenant][1:]
	var granted []string
	for _, next := range n.Release(now, ticket) {
		grantedTenant := n.tenants[next]
		n.running[grantedTenant] = append(n.running[grantedTenant], next)
		granted = append(granted, grantedTenant)
	}
	return granted
}

var _ = Describe("Controller of a full node", func() {
	options := admission.Options{Concurrent: 6, Queued: 100, QueueTimeout: time.Minute}

	It("gives free slots to the tenant with the lowest usage, not to the one with the longest queue", func() {
		full := newNode(options)
		for range 50 {
			full.arrive(0, "storm", 1)
		}
		Expect(full.arrive(0, "court", 1).Outcome).To(Equal(admission.Queued))
		full.arrive(0, "court", 1)
		full.arrive(0, "school", 1)
		var order []string
		for range 6 {
			order = append(order, full.release(time.Second, "storm")...)
		}
		Expect(order).To(Equal([]string{"court", "school", "court", "storm", "storm", "storm"}))
	})

	It("divides the slots in proportion to the weights while all tenants have queued requests", func() {
		full := newNode(options)
		for range 50 {
			full.arrive(0, "storm", 1)
			full.arrive(0, "court", 2)
		}
		for turn := range 40 {
			for _, tenant := range []string{"storm", "court"} {
				if len(full.running[tenant]) > 0 {
					full.release(time.Duration(turn)*time.Second, tenant)
				}
			}
		}
		Expect(full.running["storm"]).To(HaveLen(2))
		Expect(full.running["court"]).To(HaveLen(4))
	})

	It("keeps the reserved slots for tenants below their fair share", func() {
		reserving := options
		reserving.Reserved = 2
		full := newNode(reserving)
		for range 10 {
			full.arrive(0, "storm", 1)
		}
		Expect(full.running["storm"]).To(HaveLen(4))
		Expect(full.arrive(0, "court", 1).Outcome).To(Equal(admission.Admitted))
		Expect(full.arrive(0, "court", 1).Outcome).To(Equal(admission.Admitted))
		Expect(full.arrive(0, "court", 1).Outcome).To(Equal(admission.Queued))
		// The tenant court now uses a third of the slots, which is its fair share if there is one
		// more tenant.
		Expect(full.release(time.Second, "storm")).To(BeEmpty())
		Expect(full.arrive(time.Second, "school", 1).Outcome).To(Equal(admission.Admitted))
	})

	It("queues a request for a slot of the node although its tenant has no queue of its own", func() {
		small := newNode(admission.Options{Concurrent: 1, Queued: 1, QueueTimeout: time.Second})
		small.arrive(0, "storm", 1)
		limits := admission.Limits{Concurrent: 1}
		waits := small.Arrive(0, admission.Arrival{Tenant: "court", Limits: limits})
		Expect(waits.Outcome).To(Equal(admission.Queued))
		Expect(waits.Until).To(Equal(time.Second))
		Expect(small.Arrive(0, admission.Arrival{Tenant: "court", Limits: limits}).Outcome).To(Equal(admission.RefusedQueueFull))
	})

	It("refuses on arrival a request that would miss its deadline in the queue", func() {
		busy := newNode(admission.Options{Concurrent: 1, Queued: 10, QueueTimeout: time.Minute})
		busy.arrive(0, "court", 1)
		busy.release(2*time.Second, "court")
		now := 2 * time.Second
		busy.arrive(now, "court", 1)
		arriveWithDeadline := func(after time.Duration) admission.Decision {
			return busy.Arrive(now, admission.Arrival{Tenant: "court", Deadline: now + after})
		}
		// Service times are two seconds, and one request is running.
		late := arriveWithDeadline(4 * time.Second)
		Expect(late.Outcome).To(Equal(admission.RefusedDeadline))
		Expect(late.RetryAfter).To(Equal(2 * time.Second))
		inTime := arriveWithDeadline(4*time.Second + time.Millisecond)
		Expect(inTime.Outcome).To(Equal(admission.Queued))
		Expect(inTime.Until).To(Equal(now + 2*time.Second + time.Millisecond))
		Expect(arriveWithDeadline(6 * time.Second).Outcome).To(Equal(admission.RefusedDeadline))
	})

	It("grants no slot to a request that could not use it in time", func() {
		busy := newNode(admission.Options{Concurrent: 1, Queued: 10, QueueTimeout: time.Minute})
		busy.arrive(0, "court", 1)
		busy.release(time.Second, "court")
		busy.arrive(time.Second, "court", 1)
		waits := busy.Arrive(time.Second, admission.Arrival{Tenant: "court", Deadline: 4 * time.Second})
		Expect(waits.Outcome).To(Equal(admission.Queued))
		Expect(busy.release(3500*time.Millisecond, "court")).To(BeEmpty())
	})

	It("never exceeds a limit, and queues no request while the node is idle", func() {
		for seed := range uint64(20) {
			runRandomSequence(seed)
		}
	})
})

// runRandomSequence applies a random sequence of arrivals, releases and abandonments, and
// checks all limits after each step.
func runRandomSequence(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	options := admission.Options{
		Concurrent: 1 + random.Uint32N(6), Reserved: random.Uint32N(3), Queued: random.Uint32N(5), QueueTimeout: 3 * time.Second,
	}
	limits := admission.Limits{Concurrent: random.Uint32N(4), Queued: random.Uint32N(4), QueueTimeout: 2 * time.Second}
	tested := newNode(options)
	now := time.Duration(0)
	waiting := map[admission.Ticket]time.Duration{}
	for range 3000 {
		now += time.Duration(random.IntN(200)) * time.Millisecond
		tenant := fmt.Sprintf("tenant-%d", random.IntN(4))
		switch action := random.IntN(5); {
		case action < 3:
			deadline := now + time.Duration(1+random.IntN(4000))*time.Millisecond
			decision := tested.Arrive(now, admission.Arrival{Tenant: tenant, Limits: limits, Deadline: deadline})
			tested.tenants[decision.Ticket] = tenant
			switch decision.Outcome {
			case admission.Admitted:
				tested.running[tenant] = append(tested.running[tenant], decision.Ticket)
			case admission.Queued:
				Expect(decision.Until).To(BeNumerically("<=", deadline))
				waiting[decision.Ticket] = decision.Until
			default:
				Expect(decision.RetryAfter).To(BeNumerically(">", 0))
			}
		case action == 3 && len(tested.running[tenant]) > 0:
			ticket := tested.running[tenant][0]
			tested.running[tenant] = tested.running[tenant][1:]
			for _, next := range tested.Release(now, ticket) {
				Expect(waiting).To(HaveKey(next))
				Expect(waiting[next]).To(BeNumerically(">", now))
				delete(waiting, next)
				grantedTenant := tested.tenants[next]
				tested.running[grantedTenant] = append(tested.running[grantedTenant], next)
			}
		default:
			for ticket := range waiting {
				tested.Abandon(tested.tenants[ticket], ticket)
				delete(waiting, ticket)
				break
			}
		}
		total := 0
		for _, running := range tested.running {
			if limits.Concurrent > 0 {
				Expect(len(running)).To(BeNumerically("<=", int(limits.Concurrent)))
			}
			total += len(running)
		}
		Expect(tested.Running()).To(Equal(total))
		Expect(total).To(BeNumerically("<=", int(options.Concurrent)))
		if total == 0 {
			Expect(countUnexpired(waiting, now)).To(BeZero(), "requests wait although the node is idle")
		}
	}
}

// countUnexpired counts the requests whose wait has not ended.
func countUnexpired(waiting map[admission.Ticket]time.Duration, now time.Duration) int {
	count := 0
	for _, until := range waiting {
		if until > now {
			count++
		}
	}
	return count
}
