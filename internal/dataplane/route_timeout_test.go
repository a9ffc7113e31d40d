package dataplane_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

var _ = Describe("The time-out of a route", func() {
	const (
		routeTimeout = 300 * time.Millisecond
		// tolerance is how long after the route's time-out the response may end.
		tolerance = 500 * time.Millisecond
		// destinationTimeout is the destination's own time-out, in milliseconds: a node that
		// ignores the route's time-out ends the request then, so that the specs do not hang.
		destinationTimeout = 2000
	)

	// stalled returns a script that begins its response and never continues it.
	stalled := func(begin http.HandlerFunc) http.HandlerFunc {
		return func(writer http.ResponseWriter, request *http.Request) {
			begin(writer, request)
			<-request.Context().Done()
		}
	}
	noResponse := func(http.ResponseWriter, *http.Request) {}
	headerOnly := func(writer http.ResponseWriter, _ *http.Request) { writer.(http.Flusher).Flush() }
	partialBody := func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(writer, "a part")
		writer.(http.Flusher).Flush()
	}

	DescribeTable("ends a request that gets", func(script http.HandlerFunc, streamed, resumable bool) {
		backend, other := newReplica(script), newReplica(script)
		f := newFixture(backend.address(), other.address())
		f.timeout = destinationTimeout
		f.route = &ridgeswitchv1.Route{TimeoutMs: uint32(routeTimeout.Milliseconds()), Resumable: resumable}
		f.publish()
		began := time.Now()
		got := f.generate(header{"Repeatable", "true"})
		took := time.Since(began)
		Expect(took).To(BeNumerically(">=", routeTimeout))
		Expect(took).To(BeNumerically("<", routeTimeout+tolerance))
		if streamed {
			Expect(got.err).To(HaveOccurred(), "a truncated stream ends abnormally")
			Expect(got.body).NotTo(ContainSubstring("[DONE]"))
			return
		}
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(got.problem.Kind).To(Equal(caller.KindDeadlineExceeded))
		Expect(got.problem.MayHaveRun).To(BeTrue())
	},
		Entry("no response", stalled(noResponse), false, false),
		Entry("a response without a body", stalled(headerOnly), false, false),
		Entry("a part of a response", stalled(partialBody), false, false),
		Entry("a stream that stalls", stalled(streaming("a")), true, false),
		Entry("a resumable stream that stalls", stalled(streaming("a")), true, true),
		Entry("a stream without end", func(writer http.ResponseWriter, request *http.Request) {
			for number := 0; request.Context().Err() == nil; number++ {
				streaming(fmt.Sprint(number))(writer, request)
			}
		}, true, false),
	)

	It("ends the wait of a queued request, with an error that says that it has not run", func() {
		arrived, proceed := make(chan struct{}), make(chan struct{})
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			close(arrived)
			<-proceed
			respondWith("ok")(writer, request)
		})
		f := newFixture(backend.address())
		release := sync.OnceFunc(func() { close(proceed) })
		DeferCleanup(release)
		f.limits = &ridgeswitchv1.Limits{ConcurrentRequests: 1, QueuedRequests: 1, QueueTimeoutMs: 60000}
		f.publish()
		first := make(chan outcome, 1)
		go func() { first <- f.generate() }()
		Eventually(arrived).WithTimeout(waitTimeout).Should(BeClosed())
		f.route = &ridgeswitchv1.Route{TimeoutMs: uint32(routeTimeout.Milliseconds())}
		f.timeout = destinationTimeout
		f.publish()
		began := time.Now()
		got := f.generate()
		Expect(time.Since(began)).To(BeNumerically("<", routeTimeout+tolerance))
		Expect(got.status).To(BeNumerically(">=", http.StatusBadRequest))
		Expect(got.problem.MayHaveRun).To(BeFalse())
		release()
		var earlier outcome
		Eventually(first).WithTimeout(waitTimeout).Should(Receive(&earlier))
		Expect(earlier.status).To(Equal(http.StatusOK), "the earlier request has its own time-out")
		Expect(backend.requests()).To(HaveLen(1))
	})
})
