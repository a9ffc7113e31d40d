package admission_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/admission"
)

const tenant = "court"

var _ = Describe("Controller", func() {
	var controller *admission.Controller
	limits := admission.Limits{RequestsPerSecond: 10, Burst: 100, Concurrent: 1, Queued: 2, QueueTimeout: time.Second}

	BeforeEach(func() {
		controller = admission.New(admission.Options{})
	})

	arrive := func(now time.Duration, tenant string, limits admission.Limits) admission.Decision {
		return controller.Arrive(now, admission.Arrival{Tenant: tenant, Limits: limits})
	}

	It("admits up to the burst, and returns when the next token is available", func() {
		bounded := admission.Limits{RequestsPerSecond: 2, Burst: 3}
		for range 3 {
			Expect(arrive(0, tenant, bounded).Outcome).To(Equal(admission.Admitted))
		}
		refused := arrive(0, tenant, bounded)
		Expect(refused.Outcome).To(Equal(admission.RefusedRate))
		Expect(refused.RetryAfter).To(Equal(500 * time.Millisecond))
		Expect(arrive(500*time.Millisecond, tenant, bounded).Outcome).To(Equal(admission.Admitted))
	})

	It("queues requests that cannot run, refuses requests when the queue is full, and grants in order", func() {
		running := arrive(0, tenant, limits)
		Expect(running.Outcome).To(Equal(admission.Admitted))
		first := arrive(0, tenant, limits)
		second := arrive(0, tenant, limits)
		Expect(first.Outcome).To(Equal(admission.Queued))
		Expect(first.Until).To(Equal(time.Second))
		full := arrive(0, tenant, limits)
		Expect(full.Outcome).To(Equal(admission.RefusedQueueFull))
		Expect(full.RetryAfter).To(BeNumerically(">", 0))
		Expect(controller.Release(0, running.Ticket)).To(Equal([]admission.Ticket{first.Ticket}))
		Expect(controller.Release(0, running.Ticket)).To(BeEmpty())
		Expect(controller.Release(0, first.Ticket)).To(Equal([]admission.Ticket{second.Ticket}))
		Expect(controller.Release(0, second.Ticket)).To(BeEmpty())
	})

	It("grants no slot to a request whose wait has ended or that was abandoned", func() {
		running := arrive(0, tenant, limits)
		abandoned := arrive(0, tenant, limits)
		arrive(0, tenant, limits)
		Expect(controller.Abandon(tenant, abandoned.Ticket)).To(BeTrue())
		Expect(controller.Abandon(tenant, abandoned.Ticket)).To(BeFalse())
		Expect(controller.Release(time.Second, running.Ticket)).To(BeEmpty())
	})

	It("applies limits to each tenant separately", func() {
		arrive(0, tenant, limits)
		Expect(arrive(0, "school", limits).Outcome).To(Equal(admission.Admitted))
	})

	It("deletes the state of idle tenants only", func() {
		arrive(0, tenant, limits)
		controller.Release(0, arrive(0, "school", limits).Ticket)
		controller.Retain(func(string) bool { return false })
		Expect(controller.Tenants()).To(Equal([]string{tenant}))
	})

	It("never runs more requests than the limit, and loses no slot, over random sequences", func() {
		random := rand.New(rand.NewPCG(7, 7))
		bounded := admission.Limits{Concurrent: 3, Queued: 4, QueueTimeout: time.Second}
		now := time.Duration(0)
		var running []admission.Ticket
		waiting := map[admission.Ticket]time.Duration{}
		for range 50000 {
			now += time.Duration(random.IntN(300)) * time.Millisecond
			if random.IntN(2) == 0 {
				decision := arrive(now, tenant, bounded)
				switch decision.Outcome {
				case admission.Admitted:
					running = append(running, decision.Ticket)
				case admission.Queued:
					waiting[decision.Ticket] = decision.Until
				}
			} else if len(running) > 0 {
				ended := running[0]
				running = running[1:]
				for _, ticket := range controller.Release(now, ended) {
					Expect(waiting).To(HaveKey(ticket))
					Expect(waiting[ticket]).To(BeNumerically(">", now))
					delete(waiting, ticket)
					running = append(running, ticket)
				}
			}
			Expect(len(running)).To(BeNumerically("<=", 3))
			Expect(controller.Running()).To(Equal(len(running)))
		}
	})
})
