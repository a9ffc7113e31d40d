package dataplane_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
)

var _ = Describe("The limits on callers", func() {
	const bound = 4096

	// limited starts a node whose configuration limits the requests of callers.
	limited := func(limits *ridgeswitchv1.CallerLimits) (*fixture, *fakeReplica) {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		f.source.View().Configuration = &ridgeswitchv1.Configuration{CallerLimits: limits}
		return f, backend
	}
	filler := func(bytes int) header { return header{"X-Filler", strings.Repeat("x", bytes)} }

	It("refuse a request whose header exceeds the configured limit, and nothing is sent", func() {
		f, backend := limited(&ridgeswitchv1.CallerLimits{MaxHeaderBytes: bound})
		got := f.generate(filler(bound))
		Expect(got.status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(got.problem.Kind).To(Equal(caller.KindHeaderTooLarge))
		Expect(got.problem.MayHaveRun).To(BeFalse())
		Expect(backend.requests()).To(BeEmpty())
		Expect(f.generate(filler(bound / 2)).status).To(Equal(http.StatusOK))
	})

	It("leave the limit of headers to the listener if the configuration has none", func() {
		f, _ := limited(nil)
		Expect(f.generate(filler(bound)).status).To(Equal(http.StatusOK))
	})

	It("bound all requests together: one without room is refused, has not run, and may be sent again", func() {
		const body = 120 << 10
		proceed, arrived := make(chan struct{}), make(chan struct{}, 1)
		release := sync.OnceFunc(func() { close(proceed) })
		var runs atomic.Int64
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			if request.Method != http.MethodPost {
				// The started node also asks for the replica's events.
				http.NotFound(writer, request)
				return
			}
			if runs.Add(1) == 1 {
				arrived <- struct{}{}
			}
			<-proceed
			respondWith("ok")(writer, request)
		})
		DeferCleanup(release)
		f := newFixtureWith(func(options *dataplane.Options) {
			options.Inbound = inbound.NewBudget(inbound.Limits{Bytes: 200 << 10, Connections: 8})
		}, backend.address())
		go func() { _ = f.server.Start() }()
		<-f.server.Listening()
		post := func() *http.Response {
			request, err := http.NewRequest(http.MethodPost, "http://"+f.server.Address()+"/v1/generate", strings.NewReader(strings.Repeat("x", body)))
			Expect(err).NotTo(HaveOccurred())
			request.Host = poolHost
			request.Header.Set("Authorization", "Bearer "+courtKey)
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(response.Body.Close)
			return response
		}
		first := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			first <- post().StatusCode
		}()
		<-arrived
		refused := post()
		Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.Header.Get("Retry-After")).NotTo(BeEmpty())
		var problem caller.Error
		Expect(json.NewDecoder(refused.Body).Decode(&problem)).To(Succeed())
		Expect(problem.Kind).To(Equal(caller.KindOverloaded))
		Expect(problem.MayHaveRun).To(BeFalse())
		Expect(runs.Load()).To(Equal(int64(1)))
		release()
		Expect(<-first).To(Equal(http.StatusOK))
		Eventually(func() int { return post().StatusCode }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
	})

	It("refuse a request whose body exceeds the configured limit", func() {
		f, backend := limited(&ridgeswitchv1.CallerLimits{MaxBodyBytes: uint64(len(defaultBody)) - 1})
		got := f.generate()
		Expect(got.problem.Kind).To(Equal(caller.KindBodyTooLarge))
		Expect(backend.requests()).To(BeEmpty())
	})
})
