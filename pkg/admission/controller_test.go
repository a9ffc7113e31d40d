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
		controller = admission.New()
	})

	It("admits up to the burst, and says when the next token comes", func() {
		bounded := admission.Limits{RequestsPerSecond: 2, Burst: 3}
		for range 3 {
			Expect(controller.Arrive(0, tenant, bounded).Outcome).To(Equal(admission.Admitted))
		}
		refused := controller.Arrive(0, tenant, bounded)
		Expect(refused.Outcome).To(Equal(admission.RefusedRate))
		Expect(refused.RetryAfter).To(Equal(500 * time.Millisecond))
		Expect(controller.Arrive(500*time.Millisecond, tenant, bounded).Outcome).To(Equal(admission.Admitted))
	})

	It("queues what cannot run, refuses what finds no place, and grants in order", func() {
		Expect(controller.Arrive(0, tenant, limits).Outcome).To(Equal(admission.Admitted))
		first := controller.Arrive(0, tenant, limits)
		second := controller.Arrive(0, tenant, limits)
		Expect(first.Outcome).To(Equal(admission.Queued))
		Expect(first.Until).To(Equal(time.Second))
		full := controller.Arrive(0, tenant, limits)
		Expect(full.Outcome).To(Equal(admission.RefusedQueueFull))
		Expect(full.RetryAfter).To(BeNumerically(">", 0))
		Expect(controller.Release(0, tenant)).To(Equal([]admission.Ticket{first.Ticket}))
		Expect(controller.Release(0, tenant)).To(Equal([]admission.Ticket{second.Ticket}))
		Expect(controller.Release(0, tenant)).To(BeEmpty())
	})

	It("grants nothing to a request that has waited long enough or was abandoned", func() {
		controller.Arrive(0, tenant, limits)
		abandoned := controller.Arrive(0, tenant, limits)
		controller.Arrive(0, tenant, limits)
		Expect(controller.Abandon(tenant, abandoned.Ticket)).To(BeTrue())
		Expect(controller.Abandon(tenant, abandoned.Ticket)).To(BeFalse())
		Expect(controller.Release(time.Second, tenant)).To(BeEmpty())
	})

	It("keeps tenants apart", func() {
		controller.Arrive(0, tenant, limits)
		Expect(controller.Arrive(0, "school", limits).Outcome).To(Equal(admission.Admitted))
	})

	It("forgets idle tenants only", func() {
		controller.Arrive(0, tenant, limits)
		controller.Arrive(0, "school", limits)
		controller.Release(0, "school")
		controller.Retain(func(string) bool { return false })
		Expect(controller.Tenants()).To(Equal([]string{tenant}))
	})

	It("never runs more than the limit, and loses no place, over random sequences", func() {
		random := rand.New(rand.NewPCG(7, 7))
		bounded := admission.Limits{Concurrent: 3, Queued: 4, QueueTimeout: time.Second}
		now := time.Duration(0)
		running := 0
		waiting := map[admission.Ticket]time.Duration{}
		for range 50000 {
			now += time.Duration(random.IntN(300)) * time.Millisecond
			if random.IntN(2) == 0 {
				decision := controller.Arrive(now, tenant, bounded)
				switch decision.Outcome {
				case admission.Admitted:
					running++
				case admission.Queued:
					waiting[decision.Ticket] = decision.Until
				}
			} else if running > 0 {
				running--
				for _, ticket := range controller.Release(now, tenant) {
					Expect(waiting).To(HaveKey(ticket))
					Expect(waiting[ticket]).To(BeNumerically(">", now))
					delete(waiting, ticket)
					running++
				}
			}
			Expect(running).To(BeNumerically("<=", 3))
		}
	})
})
