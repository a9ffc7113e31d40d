package dataplane_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

var _ = Describe("A tenant's limits", func() {
	It("refuse at once what comes too fast, and say when to come back", func() {
		stand := newReplica(answering("ok"))
		f := newFixture(stand.address())
		f.limits = &ridgeswitchv1.Limits{RequestsPerSecond: 0.5, Burst: 1}
		f.publish()
		Expect(f.generate().status).To(Equal(http.StatusOK))
		got := f.generate()
		Expect(got.status).To(Equal(http.StatusTooManyRequests))
		Expect(got.problem.Kind).To(Equal(caller.KindRateLimited))
		Expect(got.header.Get("Retry-After")).To(Equal("2"))
		Expect(stand.requests()).To(HaveLen(1))
		Expect(f.server.Stats()[0].Refusals).To(HaveLen(1))
	})

	It("queue what cannot run yet, and refuse what finds no place", func() {
		arrived, proceed := make(chan struct{}, 3), make(chan struct{})
		stand := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			arrived <- struct{}{}
			<-proceed
			answering("ok")(writer, request)
		})
		f := newFixture(stand.address())
		f.limits = &ridgeswitchv1.Limits{ConcurrentRequests: 1, QueuedRequests: 1, QueueTimeoutMs: 60000}
		f.publish()
		results := make(chan outcome, 3)
		go func() { results <- f.generate() }()
		<-arrived
		// Of two more, one waits and one is refused, whichever comes first.
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

	It("let nothing wait longer than the queue permits", func() {
		arrived, proceed := make(chan struct{}), make(chan struct{})
		stand := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			close(arrived)
			<-proceed
		})
		f := newFixture(stand.address())
		f.limits = &ridgeswitchv1.Limits{ConcurrentRequests: 1, QueuedRequests: 1, QueueTimeoutMs: 20}
		f.publish()
		done := make(chan outcome)
		go func() { done <- f.generate() }()
		<-arrived
		Expect(f.generate().problem.Kind).To(Equal(caller.KindQueueTimeout))
		close(proceed)
		<-done
	})
})
