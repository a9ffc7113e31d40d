package dataplane_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
)

var _ = Describe("A streamed response", func() {
	accept := header{"Accept", caller.StreamType}

	It("is forwarded with its end marker", func() {
		backend := newReplica(streaming("a", "b", replica.StreamEnd))
		got := newFixture(backend.address()).generate(accept)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.header.Get("Content-Type")).To(Equal(caller.StreamType))
		Expect(got.body).To(Equal("data: a\n\ndata: b\n\ndata: [DONE]\n\n"))
		Expect(backend.requests()[0].Header.Get("Accept")).To(Equal(caller.StreamType))
	})

	It("is forwarded event by event", func() {
		read := make(chan struct{})
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			streaming("a")(writer, request)
			<-read
			streaming(replica.StreamEnd)(writer, request)
		})
		f := newFixture(backend.address())
		request, err := http.NewRequest(http.MethodPost, f.front.URL, strings.NewReader(defaultBody))
		Expect(err).NotTo(HaveOccurred())
		request.Host = poolHost
		request.Header.Set("Authorization", "Bearer "+courtKey)
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		reader := bufio.NewReader(response.Body)
		line, err := reader.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(Equal("data: a\n"))
		Expect(f.server.InFlight(backend.address())).To(Equal(1))
		close(read)
		remainder, err := io.ReadAll(reader)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(remainder)).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("without its end marker ends with an error", func() {
		got := newFixture(newReplica(streaming("a", "b")).address()).generate(accept)
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(got.body).To(HavePrefix("data: a\n\ndata: b\n\nevent: error\ndata: {"))
		Expect(got.body).To(ContainSubstring(string(caller.KindResponseTruncated)))
	})

	// Guards against a stream in which events come twice: a second run began at its first event behind
	// the events of the first, since these have no IDs after which it could continue.
	It("whose events have no IDs is not resumed, even on a route on which streams are", func() {
		const cutEvery = 8
		var runs atomic.Int64
		script := func(writer http.ResponseWriter, request *http.Request) {
			if runs.Add(1)%cutEvery == 0 {
				streaming("a", "b")(writer, request)
				return
			}
			streaming("a", "b", replica.StreamEnd)(writer, request)
		}
		f := newFixture(newReplica(script).address(), newReplica(script).address())
		f.route = &ridgeswitchv1.Route{Kind: ridgeswitchv1.RequestKind_STREAMING, Resumable: true, MaxAttempts: 2}
		f.publish()
		for range 2 * cutEvery {
			got := f.generate(accept)
			Expect(strings.Count(got.body, "data: a\n")).To(Equal(1), got.body)
		}
		Expect(runs.Load()).To(BeEquivalentTo(2 * cutEvery))
	})

	It("that continues after its end marker ends with an error", func() {
		got := newFixture(newReplica(streaming("a", replica.StreamEnd, "b")).address()).generate(accept)
		Expect(got.err).To(HaveOccurred())
		Expect(got.body).NotTo(ContainSubstring("data: b"))
	})

	It("that is truncated by the deadline ends with an error that says so", func() {
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			streaming("a")(writer, request)
			<-request.Context().Done()
		})
		got := newFixture(backend.address()).generate(accept, header{"Deadline-Ms", "400"})
		Expect(got.err).To(HaveOccurred())
		Expect(got.body).To(ContainSubstring(string(caller.KindDeadlineExceeded)))
	})

	It("that fails before its first event is replaced by a typed error", func() {
		got := newFixture(newReplica(streaming()).address()).generate(accept)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(got.problem.Kind).To(Equal(caller.KindOutcomeUnknown))
	})
})
