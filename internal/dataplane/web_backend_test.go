package dataplane_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// newWeb starts a back end of a web service, and returns its address.
func newWeb(script http.HandlerFunc) string {
	server := httptest.NewServer(script)
	DeferCleanup(server.Close)
	return server.Listener.Addr().String()
}

// newWebFixture starts a node with a web service that has back ends at the addresses.
func newWebFixture(addresses ...string) *fixture {
	f := newFixture()
	for _, address := range addresses {
		f.webBackends = append(f.webBackends, routing.Replica{Address: address, Zone: "a", Admitting: true})
	}
	f.publish()
	return f
}

var _ = Describe("A request to a web service", func() {
	It("is forwarded unchanged but for the caller's key, and its response but for hop-by-hop headers", func() {
		seen := make(chan *http.Request, 1)
		f := newWebFixture(newWeb(func(writer http.ResponseWriter, request *http.Request) {
			seen <- request
			writer.Header().Set("Etag", "one")
			writer.Header().Set("Connection", "X-Hop")
			writer.Header().Set("X-Hop", "hop")
			writer.WriteHeader(http.StatusTeapot)
			_, _ = io.WriteString(writer, "page")
		}))
		got := f.send(http.MethodGet, webHost, "/week/2?room=3", header{"Authorization", "Bearer " + courtKey}, header{"X-Own", "1"})
		Expect(got.status).To(Equal(http.StatusTeapot))
		Expect(got.body).To(Equal("page"))
		Expect(got.header.Get("Etag")).To(Equal("one"))
		Expect(got.header).NotTo(HaveKey("X-Hop"))
		request := <-seen
		Expect(request.URL.RequestURI()).To(Equal("/week/2?room=3"))
		Expect(request.Host).To(Equal(webHost))
		Expect(request.Header.Get("X-Own")).To(Equal("1"))
		Expect(request.Header).NotTo(HaveKey("Authorization"))
	})

	It("by HEAD keeps the response's length", func() {
		f := newWebFixture(newWeb(func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Length", "1234")
		}))
		got := f.send(http.MethodHead, webHost, "/")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.header.Get("Content-Length")).To(Equal("1234"))
	})

	It("goes to the back end with the fewest requests in flight", func() {
		inFlight, proceed := make(chan struct{}), make(chan struct{})
		var holding atomic.Int32
		script := func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/hold" {
				holding.Add(1)
				close(inFlight)
				<-proceed
				return
			}
			Expect(holding.Load()).To(Equal(int32(1)))
			_, _ = io.WriteString(writer, request.Context().Value(http.LocalAddrContextKey).(interface{ String() string }).String())
		}
		f := newWebFixture(newWeb(script), newWeb(script))
		done := make(chan outcome)
		go func() { done <- f.send(http.MethodGet, webHost, "/hold") }()
		<-inFlight
		busy := f.webBackends[0].Address
		if f.server.InFlight(busy) == 0 {
			busy = f.webBackends[1].Address
		}
		for range 4 {
			Expect(f.send(http.MethodGet, webHost, "/").body).NotTo(Equal(busy))
		}
		close(proceed)
		<-done
	})

	DescribeTable("whose response is truncated", func(method string, budgeted bool, expected int, mayHaveRun bool) {
		var truncating atomic.Bool
		script := func(writer http.ResponseWriter, _ *http.Request) {
			if truncating.CompareAndSwap(true, false) {
				writer.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(writer, "part")
				return
			}
			_, _ = io.WriteString(writer, "page")
		}
		f := newWebFixture(newWeb(script), newWeb(script))
		if budgeted {
			for range 5 {
				f.send(http.MethodGet, webHost, "/")
			}
		}
		truncating.Store(true)
		got := f.send(method, webHost, "/")
		Expect(got.status).To(Equal(expected))
		Expect(got.problem.MayHaveRun).To(Equal(mayHaveRun))
	},
		Entry("is retried if it may be repeated", http.MethodGet, true, http.StatusOK, false),
		Entry("is not retried beyond the retry budget", http.MethodGet, false, http.StatusBadGateway, true),
		Entry("is not retried if it may not be repeated", http.MethodPost, true, http.StatusBadGateway, true),
	)

	It("is refused when no back end admits", func() {
		got := newWebFixture().send(http.MethodGet, webHost, "/")
		Expect(got.problem.Kind).To(Equal(caller.KindNoBackend))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})
})
