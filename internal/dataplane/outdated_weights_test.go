package dataplane_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// recordingEdge is a BackendEdge that records attempts and sends none.
type recordingEdge struct {
	attempts []dataplane.Attempt
}

// Send implements dataplane.BackendEdge.
func (e *recordingEdge) Send(_ context.Context, attempt dataplane.Attempt) (dataplane.Response, error) {
	e.attempts = append(e.attempts, attempt)
	return nil, outbound.NotSent(errors.New("nothing is sent"))
}

var _ = Describe("A replica that lacks the named weights", func() {
	const deadline = 10 * time.Second

	// Guards against requests that a node sends by an old view after it was suspended.
	It("gets no request after the deadline, even if no newer view was built", func() {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		f.replicas[0].Outdated, f.replicas[0].WeightsDeadline = true, deadline
		f.publish()
		f.clock.Store(int64(deadline))
		Expect(f.generate().problem.Kind).To(Equal(caller.KindNoBackend))
		Expect(backend.requests()).To(BeEmpty())
	})

	It("gets requests only with the time in which they may begin", func() {
		edge := &recordingEdge{}
		f := newFixtureWith(func(options *dataplane.Options) { options.Edges.Replicas = edge }, "127.0.0.1:1")
		f.replicas[0].Outdated, f.replicas[0].WeightsDeadline = true, deadline
		f.publish()
		f.clock.Store(int64(deadline - time.Second))
		f.generate()
		Expect(edge.attempts[0].Remaining).To(BeNumerically("~", 2600*time.Millisecond, 100*time.Millisecond))
	})

	It("gets requests until then", func() {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		f.replicas[0].Outdated, f.replicas[0].WeightsDeadline = true, deadline
		f.publish()
		f.clock.Store(int64(deadline - time.Millisecond))
		Expect(f.generate().problem.Kind).To(BeEmpty())
		Expect(backend.requests()).To(HaveLen(1))
	})

	// Guards against requests that were sent before the deadline, and begin long after it since
	// they waited at the replica.
	Describe("while a request waits at it", func() {
		var f *fixture
		var backend, other *fakeReplica
		var arrived, ended chan struct{}

		BeforeEach(func() {
			arrived, ended = make(chan struct{}, 1), make(chan struct{})
			backend = newReplica(func(writer http.ResponseWriter, request *http.Request) {
				writer.Header().Set("Content-Type", caller.StreamType)
				arrived <- struct{}{}
				<-request.Context().Done()
				close(ended)
			})
			other = newReplica(streaming("a", replica.StreamEnd))
			f = newFixture(backend.address())
			f.replicas[0].Outdated, f.replicas[0].WeightsDeadline = true, deadline
			f.publish()
			f.clock.Store(int64(deadline - time.Second))
		})

		send := func(more ...header) chan outcome {
			done := make(chan outcome, 1)
			go func() { done <- f.generate(append(more, header{"Accept", caller.StreamType})...) }()
			Eventually(arrived, waitTimeout).Should(Receive())
			return done
		}

		It("withdraws the request some time after the deadline, and does not suspect the replica for it", func() {
			done := send()
			f.clock.Store(int64(deadline + time.Second))
			f.server.WithdrawOutdated()
			Consistently(ended, "50ms").ShouldNot(BeClosed())
			f.clock.Store(int64(deadline + 2*time.Second))
			f.server.WithdrawOutdated()
			Eventually(ended, waitTimeout).Should(BeClosed())
			var got outcome
			Eventually(done, waitTimeout).Should(Receive(&got))
			Expect(got.problem.Kind).To(Equal(caller.KindOutcomeUnknown))
			Expect(got.problem.MayHaveRun).To(BeTrue())
			Expect(f.server.Stats()[0].Suspected).To(BeZero())
		})

		It("sends the request to another replica if it may run again", func() {
			waiting := f.replicas
			current := []routing.Replica{{Address: other.address(), Zone: "a", WeightVersion: weightsOne, Admitting: true}}
			f.replicas = current
			f.publish()
			f.fillRetryBudget()
			f.replicas = waiting
			f.publish()
			done := send(header{"Repeatable", "true"})
			f.replicas = append(waiting, current...)
			f.publish()
			f.clock.Store(int64(deadline + 2*time.Second))
			f.server.WithdrawOutdated()
			var got outcome
			Eventually(done, waitTimeout).Should(Receive(&got))
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.body).To(HaveSuffix("data: [DONE]\n\n"))
		})
	})

	It("goes on with a stream whose output has begun", func() {
		arrived, read := make(chan struct{}), make(chan struct{})
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			close(arrived)
			streaming("a")(writer, request)
			<-read
			streaming(replica.StreamEnd)(writer, request)
		})
		f := newFixture(backend.address())
		f.replicas[0].Outdated, f.replicas[0].WeightsDeadline = true, deadline
		f.publish()
		done := make(chan outcome, 1)
		go func() { done <- f.generate(header{"Accept", caller.StreamType}) }()
		// The attempt is waiting before it reaches the replica, and no longer once its output
		// has begun.
		Eventually(arrived, waitTimeout).Should(BeClosed())
		Eventually(f.server.WaitingAttempts, waitTimeout).Should(BeZero())
		f.clock.Store(int64(deadline + 2*time.Second))
		f.server.WithdrawOutdated()
		close(read)
		var got outcome
		Eventually(done, waitTimeout).Should(Receive(&got))
		Expect(got.body).To(HaveSuffix("data: [DONE]\n\n"))
	})
})
