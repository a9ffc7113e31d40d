package dataplane_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/pkg/admission"
)

var _ = Describe("A tenant's limits", func() {
	It("refuse at once requests above the rate, and say when to retry", func() {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		f.limits = &ridgeswitchv1.Limits{RequestsPerSecond: 0.5, Burst: 1}
		f.publish()
		Expect(f.generate().status).To(Equal(http.StatusOK))
		got := f.generate()
		Expect(got.status).To(Equal(http.StatusTooManyRequests))
		Expect(got.problem.Kind).To(Equal(caller.KindRateLimited))
		Expect(got.header.Get("Retry-After")).To(Equal("2"))
		Expect(backend.requests()).To(HaveLen(1))
		Expect(f.server.Stats()[0].Refusals).To(HaveLen(1))
	})

	It("queue requests that cannot run yet, and refuse requests when the queue is full", func() {
		arrived, proceed := make(chan struct{}, 3), make(chan struct{})
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			arrived <- struct{}{}
			<-proceed
			respondWith("ok")(writer, request)
		})
		f := newFixture(backend.address())
		f.limits = &ridgeswitchv1.Limits{ConcurrentRequests: 1, QueuedRequests: 1, QueueTimeoutMs: 60000}
		f.publish()
		results := make(chan outcome, 3)
		go func() { results <- f.generate() }()
		<-arrived
		// Of two more requests, one is queued and one is refused, in either order.
		for range 2 {
			go func() { results <- f.generate() }()
		}
		refused := <-results
		Expect(refused.problem.Kind).To(Equal(caller.KindQueueFull))
		Expect(refused.problem.MayHaveRun).To(BeFalse())
		close(proceed)
		Expect((<-results).status).To(Equal(http.StatusOK))
		Expect((<-results).status).To(Equal(http.StatusOK))
	})

	It("let no request wait longer than the queue time-out", func() {
		arrived, proceed := make(chan struct{}), make(chan struct{})
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			close(arrived)
			<-proceed
		})
		f := newFixture(backend.address())
		f.limits = &ridgeswitchv1.Limits{ConcurrentRequests: 1, QueuedRequests: 1, QueueTimeoutMs: 20}
		f.publish()
		done := make(chan outcome)
		go func() { done <- f.generate() }()
		<-arrived
		Expect(f.generate().problem.Kind).To(Equal(caller.KindQueueTimeout))
		close(proceed)
		<-done
	})

	It("give a slot that becomes free on a node at capacity to the tenant that has none", func() {
		entered, proceed := make(chan string, 8), make(chan struct{})
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			entered <- request.Header.Get(caller.HeaderRequestID)
			<-proceed
			respondWith("ok")(writer, request)
		})
		f := newFixtureWith(func(options *dataplane.Options) {
			options.Admission = admission.Options{Concurrent: 1, Queued: 2, QueueTimeout: time.Minute}
		}, backend.address())
		results := make(chan outcome, 8)
		send := func(key, id string) {
			go func() { results <- f.generate(header{"Authorization", "Bearer " + key}, header{"Request-Id", id}) }()
		}
		send(courtKey, "court-0")
		Expect(<-entered).To(Equal("court-0"))
		// Two of three requests are queued; the refusal of the third one shows that they are.
		for _, tenant := range []struct{ key, name string }{{courtKey, "court"}, {schoolKey, "school"}} {
			for number := 1; number <= 3; number++ {
				send(tenant.key, fmt.Sprintf("%s-%d", tenant.name, number))
			}
			Expect((<-results).problem.Kind).To(Equal(caller.KindQueueFull))
		}
		close(proceed)
		Expect(<-entered).To(HavePrefix("school"))
		Expect(<-entered).To(HavePrefix("court"))
		Expect(<-entered).To(HavePrefix("school"))
		Expect(<-entered).To(HavePrefix("court"))
		for range 5 {
			Expect((<-results).status).To(Equal(http.StatusOK))
		}
	})

	It("refuse at once a request that would miss its deadline in the queue, and say when to retry", func() {
		arrived, proceed := make(chan struct{}, 2), make(chan struct{})
		var f *fixture
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			arrived <- struct{}{}
			<-proceed
			f.clock.Add(int64(3 * time.Second))
			respondWith("ok")(writer, request)
		})
		f = newFixtureWith(func(options *dataplane.Options) {
			options.Admission = admission.Options{Concurrent: 1, Queued: 2, QueueTimeout: time.Minute}
		}, backend.address())
		results := make(chan outcome, 2)
		start := func() {
			go func() { results <- f.generate() }()
			<-arrived
		}
		start()
		proceed <- struct{}{}
		Expect((<-results).status).To(Equal(http.StatusOK))
		start()
		refused := f.generate(header{"Deadline-Ms", "2000"})
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.problem.Kind).To(Equal(caller.KindDeadlineUnreachable))
		Expect(refused.problem.MayHaveRun).To(BeFalse())
		Expect(refused.header.Get("Retry-After")).To(Equal("3"))
		Expect(backend.requests()).To(HaveLen(2))
		close(proceed)
		Expect((<-results).status).To(Equal(http.StatusOK))
	})
})
