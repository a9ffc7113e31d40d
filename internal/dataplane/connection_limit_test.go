package dataplane_test

import (
	"context"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

var _ = Describe("The connections to a back end", func() {
	// limits starts one of several nodes, with a pool and a web service that share a back
	// end, and returns the node's ConnectionLimit.
	limits := func(nodes int, poolLimit, webLimit uint32) func(address string) int {
		f := newFixtureWith(func(options *dataplane.Options) {
			options.Peers = func() []member.Info { return make([]member.Info, nodes) }
		})
		pool := &routing.Pool{
			Config:   &ridgeswitchv1.Pool{Name: "pool", Backends: &ridgeswitchv1.BackendLimits{MaxConnections: poolLimit}},
			Replicas: []routing.Replica{{Address: "pool:1"}, {Address: "both:1"}},
		}
		web := &routing.WebService{
			Config:   &ridgeswitchv1.WebService{Name: "web", Backends: &ridgeswitchv1.BackendLimits{MaxConnections: webLimit}},
			Replicas: []routing.Replica{{Address: "web:1"}, {Address: "both:1"}},
		}
		f.source.view.Store(&routing.View{
			Pools:       map[string]*routing.Pool{"pool": pool},
			WebServices: map[string]*routing.WebService{"web": web},
		})
		return f.server.ConnectionLimit
	}

	It("are divided among the nodes and a reserve, by the lowest limit of its destinations", func() {
		limit := limits(9, 370, 110)
		Expect([]int{limit("pool:1"), limit("web:1"), limit("both:1")}).To(Equal([]int{33, 10, 10}))
	})

	It("are at least two, so that one is left for requests beside reports", func() {
		Expect(limits(72, 40, 0)("pool:1")).To(Equal(2))
	})

	It("are not limited if no destination limits them", func() {
		limit := limits(9, 370, 0)
		Expect([]int{limit("web:1"), limit("elsewhere:1")}).To(Equal([]int{0, 0}))
	})

	It("are limited with the native protocol as well", func() {
		arrived, proceed := make(chan struct{}, 3), make(chan struct{})
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			arrived <- struct{}{}
			<-proceed
			respondWith("ok")(writer, request)
		})
		f := newFixture(backend.address())
		f.source.View().Pools["pool"].Config.Backends = &ridgeswitchv1.BackendLimits{MaxConnections: 2}
		release := sync.OnceFunc(func() { close(proceed) })
		DeferCleanup(release)
		results := make(chan outcome, 2)
		for range cap(results) {
			go func() { results <- f.generate() }()
			<-arrived
		}
		got := f.generate(header{"Repeatable", "true"})
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.problem.Kind).To(Or(Equal(caller.KindBackendsBusy), Equal(caller.KindNoBackend)))
		Expect(got.problem.MayHaveRun).To(BeFalse())
		release()
		for range cap(results) {
			Expect((<-results).status).To(Equal(http.StatusOK))
		}
		Expect(backend.requests()).To(HaveLen(2))
		Expect(f.server.Stats()[0].Suspected).To(BeZero())
	})

	It("do not count as a failure of the back end when all are in use", func() {
		atLimit := &faultInjectingEdge{fault: func(context.Context) (dataplane.Response, error) {
			return nil, outbound.NotSent(&outbound.ConnectionLimitError{Address: "only:1", Limit: 2})
		}, faultEvery: 2, faulty: map[string]bool{"only:1": true}, sent: map[string]int{}}
		f := newFixtureWith(func(options *dataplane.Options) { options.Edges.Replicas = atLimit }, "only:1", "other:1")
		f.replicas[1].Admitting = false
		f.publish()
		got := f.generate()
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.problem.MayHaveRun).To(BeFalse())
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(got.problem.Kind).To(Or(Equal(caller.KindBackendsBusy), Equal(caller.KindNoBackend)))
		Expect(f.generate().status).To(Equal(http.StatusOK))
		Expect(f.server.Stats()[0].Suspected).To(BeZero())
	})
})
