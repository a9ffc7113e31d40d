package routematcher

import (
	"fmt"
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

var _ = Describe("A route with several destinations", func() {
	// newSplitRoute returns a route to pools with the given weights, and the pools.
	newSplitRoute := func(weights ...uint32) (*routing.Route, []*routing.Pool) {
		choices, pools := make([]routing.Choice, len(weights)), make([]*routing.Pool, len(weights))
		for at, weight := range weights {
			pools[at] = &routing.Pool{Config: &ridgeswitchv1.Pool{Name: fmt.Sprint(at)}}
			choices[at] = routing.Choice{Destination: routing.Destination{Pool: pools[at]}, Weight: weight}
		}
		return routing.NewRoute(&ridgeswitchv1.Route{PathPrefix: "/"}, choices...), pools
	}

	DescribeTable("sends each destination its fraction of the requests, from the first request on", func(weights ...uint32) {
		// tolerance is the largest permitted difference, in requests, between the number of
		// requests that a destination received and its share.
		const tolerance, requests, nodes = 3.0, 400, 50
		route, pools := newSplitRoute(weights...)
		total := uint64(0)
		for _, weight := range weights {
			total += uint64(weight)
		}
		for range nodes {
			sampler := newDestinationSampler()
			counts := map[*routing.Pool]int{}
			for number := 1; number <= requests; number++ {
				// Requests on other routes in between must not affect this route.
				sampler.next("other.example", route)
				counts[route.Destination(sampler.next("models.example", route)).Pool]++
				for at, pool := range pools {
					share := float64(number) * float64(weights[at]) / float64(total)
					Expect(math.Abs(float64(counts[pool])-share)).To(BeNumerically("<=", tolerance),
						"destination %d after %d requests", at, number)
				}
			}
		}
	},
		Entry("two equal weights", uint32(1), uint32(1)),
		Entry("one destination with a tenth", uint32(90), uint32(10)),
		Entry("one destination with a hundredth", uint32(99), uint32(1)),
		Entry("one destination with weight 0", uint32(7), uint32(0)),
		Entry("three equal weights", uint32(1), uint32(1), uint32(1)),
		Entry("five different weights", uint32(5), uint32(10), uint32(20), uint32(25), uint32(40)),
		Entry("the maximum weights", uint32(math.MaxUint32), uint32(math.MaxUint32)),
	)

	It("stores the last sample of at most maxSampledRoutes routes", func() {
		route, _ := newSplitRoute(1, 1)
		sampler := newDestinationSampler()
		for number := range 2*maxSampledRoutes + 1 {
			sampler.next(fmt.Sprint(number), route)
		}
		Expect(len(sampler.last)).To(BeNumerically("<=", maxSampledRoutes))
	})
})
