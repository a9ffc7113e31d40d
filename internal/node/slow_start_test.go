package node

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

var _ = Describe("The slow start of listed back ends", func() {
	const (
		hour = time.Hour
		cold = 30 * time.Second
	)
	var view *routing.View
	var tracker *slowStart

	// remaining passes a list with one service and its addresses to the tracker, and returns
	// the remaining warm-up time of each address.
	remaining := func(now time.Duration, service string, addresses ...string) []time.Duration {
		services := []control.ServiceEndpoints{{Name: service, Endpoints: lo.Map(addresses, func(address string, _ int) control.Endpoint {
			return control.Endpoint{Address: address}
		})}}
		tracker.setWarmUpRemaining(now, services)
		return lo.Map(services[0].Endpoints, func(replica control.Endpoint, _ int) time.Duration { return replica.WarmUpRemaining })
	}

	BeforeEach(func() {
		limits := &ridgeswitchv1.BackendLimits{ColdStartMs: uint32(cold.Milliseconds())}
		view = &routing.View{
			Pools:       map[string]*routing.Pool{"pool": {Config: &ridgeswitchv1.Pool{Service: "model", Backends: limits}}},
			WebServices: map[string]*routing.WebService{"web": {Config: &ridgeswitchv1.WebService{Service: "pages", Backends: limits}}},
		}
		tracker = &slowStart{view: func() *routing.View { return view }}
	})

	DescribeTable("begins when a back end appears in the list, and takes the configured time", func(service string) {
		Expect(remaining(hour, service, "a:1")).To(Equal([]time.Duration{0}), "back ends in the first list count as warm")
		Expect(remaining(hour+time.Second, service, "a:1", "b:1")).To(Equal([]time.Duration{0, cold}))
		Expect(remaining(hour+11*time.Second, service, "b:1", "a:1")).To(Equal([]time.Duration{cold - 10*time.Second, 0}))
		Expect(remaining(hour+2*cold, service, "b:1")).To(Equal([]time.Duration{0}))
		Expect(remaining(hour+3*cold, service, "a:1", "b:1")).To(Equal([]time.Duration{cold, 0}), "a:1 is listed again")
	},
		Entry("in a pool", "model"),
		Entry("in a web service", "pages"),
	)

	It("takes no time if none is configured, or while the node has no routing view", func() {
		Expect(remaining(hour, "other", "a:1")).To(Equal([]time.Duration{0}))
		Expect(remaining(hour, "other", "b:1")).To(Equal([]time.Duration{0}))
		view = nil
		Expect(remaining(hour, "model", "c:1")).To(Equal([]time.Duration{0}))
	})

	It("is set in endpoints that are read with the product's own protocol", func() {
		lists := []string{
			`{"services":[{"name":"model","replicas":[{"address":"a:1","state":"running"}]}]}`,
			`{"services":[{"name":"model","replicas":[{"address":"a:1","state":"running"},{"address":"b:1","state":"running"}]}]}`,
		}
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, lists[0])
			lists = lists[1:]
		}))
		DeferCleanup(server.Close)
		reader := Edges{}.withDefaults(server.Listener.Addr().String(), func() *routing.View { return view }).Endpoints
		_, err := reader.Read(context.Background())
		Expect(err).NotTo(HaveOccurred())
		read, err := reader.Read(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(read[0].Endpoints[0].WarmUpRemaining).To(BeZero())
		Expect(read[0].Endpoints[1].WarmUpRemaining).To(Equal(cold))
	})
})
