package dataplane_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
)

var _ = Describe("Attempts", func() {
	var healthy *fakeReplica

	BeforeEach(func() {
		healthy = newReplica(respondWith("ok"))
	})

	It("to an address without a listener are retried elsewhere, and later requests avoid the address", func() {
		f := newFixture(healthy.address())
		f.fillRetryBudget()
		f.replicas = append(f.replicas, f.replicas[0])
		f.replicas[0].Address = closedAddress()
		f.publish()
		for turn := range 30 {
			got := f.generate(header{"Prefix", fmt.Sprintf("case-%d;tokens=32", turn)})
			Expect(got.status).To(Equal(http.StatusOK))
		}
		Expect(f.server.Stats()[0].Retries).To(Equal(uint64(1)))
	})

	It("to an address without a listener are reported as not run", func() {
		got := newFixture(closedAddress()).generate()
		Expect(got.problem.Kind).To(Equal(caller.KindNoBackend))
		Expect(got.problem.MayHaveRun).To(BeFalse())
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	DescribeTable("on two replicas of which one fails", func(script http.HandlerFunc, repeatable string, expected int, mayHaveRun bool) {
		failing := newReplica(script)
		f := newFixture(healthy.address())
		f.fillRetryBudget()
		f.replicas = append(f.replicas, f.replicas[0])
		f.replicas[0].Address = failing.address()
		f.replicas[1].Admitting = false
		f.publish()
		// The healthy replica begins to admit after the first attempt was sent, so that
		// the order of the attempts is deterministic.
		f.source.onServing = func(call int) {
			if len(failing.requests()) == 1 {
				f.replicas[1].Admitting = true
				f.publish()
			}
		}
		got := f.generate(header{"Repeatable", repeatable})
		Expect(got.status).To(Equal(expected))
		Expect(got.problem.MayHaveRun).To(Equal(mayHaveRun))
		Expect(failing.requests()).To(HaveLen(1))
		if expected == http.StatusOK {
			sent := healthy.requests()
			Expect(sent[len(sent)-1].Header.Get(replica.HeaderAttempt)).To(Equal("2"))
			Expect(f.server.Stats()[0].Retries).To(Equal(uint64(1)))
		}
	},
		Entry("are retried after a refusal", refusing(), "false", http.StatusOK, false),
		Entry("are not retried after a lost response", aborting(), "false", http.StatusBadGateway, true),
		Entry("are retried after a lost response if the request is idempotent", aborting(), "true", http.StatusOK, false),
	)

	It("are not retried beyond the retry budget", func() {
		f := newFixture(newReplica(refusing()).address(), newReplica(refusing()).address())
		got := f.generate(header{"Repeatable", "true"})
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.problem.Kind).To(Equal(caller.KindRetryBudgetSpent))
		Expect(got.problem.MayHaveRun).To(BeFalse())
		Expect(f.server.Stats()[0].RetriesDenied).To(Equal(uint64(1)))
	})

	It("result in a Retry-After when the replica refuses the request", func() {
		got := newFixture(newReplica(refusing()).address()).generate()
		Expect(got.problem.MayHaveRun).To(BeFalse())
		Expect(got.header.Get("Retry-After")).To(Or(Equal("1"), Equal("3")))
	})

	It("end at the deadline, with an error that says that the request may have run", func() {
		left := make(chan struct{})
		backend := newReplica(func(_ http.ResponseWriter, request *http.Request) {
			<-request.Context().Done()
			close(left)
		})
		got := newFixture(backend.address()).generate(header{"Deadline-Ms", "400"})
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(got.problem.Kind).To(Equal(caller.KindDeadlineExceeded))
		Expect(got.problem.MayHaveRun).To(BeTrue())
		Expect(got.header).NotTo(HaveKey("Retry-After"), "the request may have run, so that the caller must not retry it")
		Eventually(left).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("end when the caller disconnects", func() {
		arrived := make(chan struct{})
		left := make(chan struct{})
		backend := newReplica(func(_ http.ResponseWriter, request *http.Request) {
			close(arrived)
			<-request.Context().Done()
			close(left)
		})
		f := newFixture(backend.address())
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL, strings.NewReader(defaultBody))
		Expect(err).NotTo(HaveOccurred())
		request.Host = poolHost
		request.Header.Set("Authorization", "Bearer "+courtKey)
		go func() {
			<-arrived
			Expect(f.server.InFlight(backend.address())).To(Equal(1))
			cancel()
		}()
		_, err = http.DefaultClient.Do(request)
		Expect(err).To(HaveOccurred())
		Eventually(left).WithTimeout(waitTimeout).Should(BeClosed())
	})

	DescribeTable("never make a truncated response look complete, wherever it is truncated", func(streamed bool) {
		full := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nAttempt-Id: ATTEMPT\r\n\r\nhello"
		if streamed {
			full = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nAttempt-Id: ATTEMPT\r\n\r\n" +
				"9\r\ndata: a\n\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
		}
		backend := newTruncatingReplica(full)
		f := newFixture(backend.listener.Addr().String())
		complete := 0
		for truncated := range len(full) + 1 {
			backend.truncateAt.Store(int64(truncated))
			before := backend.runs.Load()
			got := f.generate()
			Expect(backend.runs.Load()-before).To(Equal(int64(1)), "truncated after %d bytes", truncated)
			switch {
			case got.err != nil:
				Expect(streamed).To(BeTrue())
				Expect(got.body).NotTo(ContainSubstring("[DONE]"))
				Expect(got.body).To(ContainSubstring("event: error"))
				Expect(got.body).To(ContainSubstring(`"may_have_run":true`))
			case got.status == http.StatusOK:
				complete++
				Expect(got.body).To(Or(Equal("hello"), Equal("data: a\n\ndata: [DONE]\n\n")))
			default:
				Expect(got.problem.Kind).To(Equal(caller.KindOutcomeUnknown))
				Expect(got.problem.MayHaveRun).To(BeTrue())
			}
			f.clock.Add(int64(time.Minute))
		}
		Expect(complete).To(BeNumerically(">", 0))
		Expect(complete).To(BeNumerically("<", 12))
	}, Entry("buffered", false), Entry("streamed", true))
})

// truncatingReplica responds to each request with the first bytes of a script.
type truncatingReplica struct {
	listener   net.Listener
	script     string
	truncateAt atomic.Int64
	runs       atomic.Int64
}

func newTruncatingReplica(script string) *truncatingReplica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	backend := &truncatingReplica{listener: listener, script: script}
	go backend.accept()
	DeferCleanup(listener.Close)
	return backend
}

func (c *truncatingReplica) accept() {
	for {
		connection, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.serve(connection)
	}
}

// serve responds to requests until the connection ends. After a complete response the
// connection stays open, so that the specs also cover its reuse.
func (c *truncatingReplica) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		c.runs.Add(1)
		script := strings.Replace(c.script, "ATTEMPT", request.Header.Get(replica.HeaderAttemptID), 1)
		truncated := c.truncateAt.Load()
		if truncated < int64(len(c.script)) {
			// A position after the attempt ID is counted from the end, because the
			// ID is longer than its placeholder.
			keep := int64(len(script)) - (int64(len(c.script)) - truncated)
			if truncated < int64(strings.Index(c.script, "ATTEMPT")) {
				keep = truncated
			}
			_, _ = io.WriteString(connection, script[:keep])
			return
		}
		_, _ = io.WriteString(connection, script)
	}
}
