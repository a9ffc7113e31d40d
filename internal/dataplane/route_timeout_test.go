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

var _ = Describe("The time that a route gives a request", func() {
	const (
		// given is the route's time.
		given = 300 * time.Millisecond
		// grace is how long after it the response may end.
		grace = 500 * time.Millisecond
		// destinationTimeout is the destination's own, in milliseconds: a node that ignores
		// the route's time ends the request then, and the specs don't hang.
		destinationTimeout = 2000
	)

	// stuck never continues after the start of its response.
	stuck := func(begin http.HandlerFunc) http.HandlerFunc {
		return func(writer http.ResponseWriter, request *http.Request) {
			begin(writer, request)
			<-request.Context().Done()
		}
	}
	nothing := func(http.ResponseWriter, *http.Request) {}
	head := func(writer http.ResponseWriter, _ *http.Request) { writer.(http.Flusher).Flush() }
	partial := func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(writer, "a part")
		writer.(http.Flusher).Flush()
	}

	DescribeTable("ends it in time, whatever delays it", func(script http.HandlerFunc, streamed, resumable bool) {
		stand, other := newReplica(script), newReplica(script)
		f := newFixture(stand.address(), other.address())
		f.timeout = destinationTimeout
		f.route = &ridgeswitchv1.Route{TimeoutMs: uint32(given.Milliseconds()), Resumable: resumable}
		f.publish()
		began := time.Now()
		got := f.generate(header{"Repeatable", "true"})
		took := time.Since(began)
		Expect(took).To(BeNumerically(">=", given))
		Expect(took).To(BeNumerically("<", given+grace))
		if streamed {
			Expect(got.err).To(HaveOccurred(), "a cut stream ends abnormally")
			Expect(got.body).NotTo(ContainSubstring("[DONE]"))
			return
		}
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(got.problem.Kind).To(Equal(caller.KindDeadlineExceeded))
		Expect(got.problem.MayHaveRun).To(BeTrue())
	},
		Entry("no response", stuck(nothing), false, false),
		Entry("a response without a body", stuck(head), false, false),
		Entry("a part of a response", stuck(partial), false, false),
		Entry("a stream that stands still", stuck(streaming("a")), true, false),
		Entry("a stream that stalls and may be resumed", stuck(streaming("a")), true, true),
		Entry("a stream that goes on for ever", func(writer http.ResponseWriter, request *http.Request) {
			for number := 0; request.Context().Err() == nil; number++ {
				streaming(fmt.Sprint(number))(writer, request)
			}
		}, true, false),
	)

	It("ends the wait in the queue too, and says that nothing has run", func() {
		arrived, proceed := make(chan struct{}), make(chan struct{})
		stand := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			close(arrived)
			<-proceed
			respondWith("ok")(writer, request)
		})
		f := newFixture(stand.address())
		release := sync.OnceFunc(func() { close(proceed) })
		DeferCleanup(release)
		f.limits = &ridgeswitchv1.Limits{ConcurrentRequests: 1, QueuedRequests: 1, QueueTimeoutMs: 60000}
		f.publish()
		first := make(chan outcome, 1)
		go func() { first <- f.generate() }()
		Eventually(arrived).WithTimeout(waitTimeout).Should(BeClosed())
		f.route = &ridgeswitchv1.Route{TimeoutMs: uint32(given.Milliseconds())}
		f.timeout = destinationTimeout
		f.publish()
		began := time.Now()
		got := f.generate()
		Expect(time.Since(began)).To(BeNumerically("<", given+grace))
		Expect(got.status).To(BeNumerically(">=", http.StatusBadRequest))
		Expect(got.problem.MayHaveRun).To(BeFalse())
		release()
		var earlier outcome
		Eventually(first).WithTimeout(waitTimeout).Should(Receive(&earlier))
		Expect(earlier.status).To(Equal(http.StatusOK), "the earlier one has its own time")
		Expect(stand.requests()).To(HaveLen(1))
	})
})
