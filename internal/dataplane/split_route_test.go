package dataplane_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

var _ = Describe("A split route", func() {
	It("sends each destination its fraction of the requests, independently of other routes", func() {
		const requests, maximum = 60, 3
		pooled, web := newReplica(respondWith("ok")), newReplica(respondWith("ok"))
		f := newFixture(pooled.address())
		f.webBackends = []routing.Replica{{Address: web.address(), Zone: "a", Admitting: true}}
		f.publish()
		view := *f.source.View()
		view.Hosts = map[string]routing.Routes{poolHost: {
			routing.NewRoute(&ridgeswitchv1.Route{PathPrefix: "/v1/plain"},
				routing.Choice{Destination: routing.Destination{Pool: view.Pools["pool"]}}),
			routing.NewRoute(&ridgeswitchv1.Route{},
				routing.Choice{Destination: routing.Destination{Pool: view.Pools["pool"]}, Weight: 3},
				routing.Choice{Destination: routing.Destination{WebService: view.WebServices["calendar"]}, Weight: 1}),
		}}
		f.source.view.Store(&view)
		for range requests {
			Expect(f.generate().status).To(Equal(http.StatusOK))
			Expect(f.send(http.MethodPost, poolHost, "/v1/plain", header{"Authorization", "Bearer " + courtKey}).status).To(Equal(http.StatusOK))
		}
		Expect(len(web.requests())).To(BeNumerically("~", requests/4, maximum))
	})
})
