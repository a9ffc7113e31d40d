package dynamic_test

import (
	"errors"
	"fmt"
	"math"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// repeated returns a list with one element more than bound.
func repeated[T any](bound int, make func(i int) *T) []*T {
	var list []*T
	for i := range bound + 1 {
		list = append(list, make(i))
	}
	return list
}

type config = ridgeswitchv1.Configuration

var _ = Describe("Validate", func() {
	DescribeTable("finds each fault by kind and field", func(change func(c *config), faults ...string) {
		configuration := validConfiguration()
		change(configuration)
		Expect(faultsOf(dynamic.Validate(configuration))).To(Equal(faults))
	},
		Entry("tenant name empty", func(c *config) { c.Tenants[0].Name = "" }, "missing tenants[0].name"),
		Entry("tenant name with slash", func(c *config) { c.Tenants[0].Name = "a/b" }, "invalid tenants[0].name"),
		Entry("tenant name too long", func(c *config) { c.Tenants[0].Name = strings.Repeat("a", 129) }, "oversize tenants[0].name"),
		Entry("tenant twice", func(c *config) { c.Tenants[1].Name = "registry" }, "duplicate tenants[1].name"),
		Entry("null tenant", func(c *config) { c.Tenants[1] = nil }, "missing tenants[1].name", "missing tenants[1].limits"),
		Entry("key name empty", func(c *config) { c.Tenants[0].Keys[0].Name = "" }, "missing tenants[0].keys[0].name"),
		Entry("key name twice", func(c *config) {
			c.Tenants[0].Keys = append(c.Tenants[0].Keys, &ridgeswitchv1.Key{Name: "desk", Sha256: dynamic.KeyDigest("b")})
		}, "duplicate tenants[0].keys[1].name"),
		Entry("digest twice across tenants", func(c *config) {
			c.Tenants[1].Keys = []*ridgeswitchv1.Key{{Name: "desk", Sha256: c.Tenants[0].Keys[0].Sha256}}
		}, "duplicate tenants[1].keys[0].sha256"),
		Entry("digest missing", func(c *config) { c.Tenants[0].Keys[0].Sha256 = "" }, "missing tenants[0].keys[0].sha256"),
		Entry("digest upper case", func(c *config) { c.Tenants[0].Keys[0].Sha256 = strings.Repeat("A", 64) }, "invalid tenants[0].keys[0].sha256"),
		Entry("digest too short", func(c *config) { c.Tenants[0].Keys[0].Sha256 = strings.Repeat("a", 63) }, "invalid tenants[0].keys[0].sha256"),
		Entry("limits missing", func(c *config) { c.Tenants[0].Limits = nil }, "missing tenants[0].limits"),
		Entry("rate zero", func(c *config) { c.Tenants[0].Limits.RequestsPerSecond = 0 }, "out_of_range tenants[0].limits.requests_per_second"),
		Entry("rate negative", func(c *config) { c.Tenants[0].Limits.RequestsPerSecond = -1 }, "out_of_range tenants[0].limits.requests_per_second"),
		Entry("rate not a number", func(c *config) { c.Tenants[0].Limits.RequestsPerSecond = math.NaN() }, "out_of_range tenants[0].limits.requests_per_second"),
		Entry("rate infinite", func(c *config) { c.Tenants[0].Limits.RequestsPerSecond = math.Inf(1) }, "out_of_range tenants[0].limits.requests_per_second"),
		Entry("burst zero", func(c *config) { c.Tenants[0].Limits.Burst = 0 }, "out_of_range tenants[0].limits.burst"),
		Entry("concurrency zero", func(c *config) { c.Tenants[0].Limits.ConcurrentRequests = 0 }, "out_of_range tenants[0].limits.concurrent_requests"),
		Entry("queue zero", func(c *config) { c.Tenants[0].Limits.QueuedRequests = 0 }, "out_of_range tenants[0].limits.queued_requests"),
		Entry("queue timeout too long", func(c *config) { c.Tenants[0].Limits.QueueTimeoutMs = 600_001 }, "out_of_range tenants[0].limits.queue_timeout_ms"),
		Entry("model empty", func(c *config) { c.Pools[0].Model = "" }, "missing pools[0].model"),
		Entry("model with a space", func(c *config) { c.Pools[0].Model = "a b" }, "invalid pools[0].model"),
		Entry("weight version with a space", func(c *config) { c.Pools[0].WeightVersion = "w 1" }, "invalid pools[0].weight_version"),
		Entry("weight version too long", func(c *config) { c.Pools[0].WeightVersion = strings.Repeat("w", 129) }, "oversize pools[0].weight_version"),
		Entry("request timeout zero", func(c *config) { c.Pools[0].RequestTimeoutMs = 0 }, "out_of_range pools[0].request_timeout_ms"),
		Entry("pool's store dangling", func(c *config) { c.Pools[0].Store = "other" }, "dangling_reference pools[0].store"),
		Entry("routing parameter negative", func(c *config) { c.Pools[0].Routing.Temperature = -1 }, "out_of_range pools[0].routing.temperature"),
		Entry("store credit above 1", func(c *config) { c.Pools[0].Routing.StoreCredit = 1.5 }, "out_of_range pools[0].routing.store_credit"),
		Entry("service shared by two destinations", func(c *config) { c.WebServices[0].Service = "summaries" }, "duplicate web_services[0].service"),
		Entry("web service timeout zero", func(c *config) { c.WebServices[0].RequestTimeoutMs = 0 }, "out_of_range web_services[0].request_timeout_ms"),
		Entry("store address without port", func(c *config) { c.Stores[0].Address = "127.3.1.1" }, "invalid stores[0].address"),
		Entry("store address with a name", func(c *config) { c.Stores[0].Address = "store:7400" }, "invalid stores[0].address"),
		Entry("store address empty", func(c *config) { c.Stores[0].Address = "" }, "missing stores[0].address"),
		Entry("store zone empty", func(c *config) { c.Stores[0].Zone = "" }, "missing stores[0].zone"),
		Entry("host empty", func(c *config) { c.Routes[0].Host = "" }, "missing routes[0].host"),
		Entry("host upper case", func(c *config) { c.Routes[0].Host = "A.example" }, "invalid routes[0].host"),
		Entry("host with port", func(c *config) { c.Routes[0].Host = "a.example:80" }, "invalid routes[0].host"),
		Entry("host too long", func(c *config) { c.Routes[0].Host = strings.Repeat("a", 254) }, "oversize routes[0].host"),
		Entry("host twice", func(c *config) { c.Routes[1].Host = c.Routes[0].Host }, "duplicate routes[1].host"),
		Entry("no destination", func(c *config) { c.Routes[0].Destination = nil }, "missing routes[0]"),
		Entry("pool removed under its route", func(c *config) { c.Pools = nil }, "dangling_reference routes[0].pool"),
		Entry("web service removed under its route", func(c *config) { c.WebServices = nil }, "dangling_reference routes[1].web_service"),
		Entry("zone twice", func(c *config) { c.Evacuations = append(c.Evacuations, c.Evacuations[0]) }, "duplicate evacuations[1].zone"),
		Entry("reason with control characters", func(c *config) { c.Evacuations[0].Reason = "a\nb" }, "invalid evacuations[0].reason"),
		Entry("reason too long", func(c *config) { c.Evacuations[0].Reason = strings.Repeat("a", 1025) }, "oversize evacuations[0].reason"),
		Entry("too many evacuations", func(c *config) {
			c.Evacuations = repeated(dynamic.MaxEvacuations, func(i int) *ridgeswitchv1.ZoneEvacuation {
				return &ridgeswitchv1.ZoneEvacuation{Zone: fmt.Sprint(i)}
			})
		}, "oversize evacuations"),
		Entry("too many keys", func(c *config) {
			c.Tenants[0].Keys = repeated(dynamic.MaxKeysPerTenant, func(i int) *ridgeswitchv1.Key {
				return &ridgeswitchv1.Key{Name: fmt.Sprint(i), Sha256: dynamic.KeyDigest(fmt.Sprint(i))}
			})
		}, "oversize tenants[0].keys"),
		Entry("too many tenants", func(c *config) {
			limits := c.Tenants[0].Limits
			c.Tenants = repeated(dynamic.MaxTenants, func(i int) *ridgeswitchv1.Tenant {
				return &ridgeswitchv1.Tenant{Name: fmt.Sprint(i), Limits: limits}
			})
		}, "oversize tenants"),
		Entry("too many pools", func(c *config) {
			c.Pools = append(c.Pools, repeated(dynamic.MaxPools-1, func(i int) *ridgeswitchv1.Pool {
				return &ridgeswitchv1.Pool{Name: fmt.Sprint(i), Service: fmt.Sprint(i), Model: "m", WeightVersion: "w", RequestTimeoutMs: 1}
			})...)
		}, "oversize pools"),
		Entry("too many routes", func(c *config) {
			c.Routes = repeated(dynamic.MaxRoutes, func(i int) *ridgeswitchv1.Route {
				return &ridgeswitchv1.Route{Host: fmt.Sprint("h", i), Destination: &ridgeswitchv1.Route_Pool{Pool: "summaries"}}
			})
		}, "oversize routes"),
		Entry("configuration of too many bytes", func(c *config) {
			host := strings.Repeat("a", 240)
			c.Routes = repeated(dynamic.MaxRoutes-1, func(i int) *ridgeswitchv1.Route {
				return &ridgeswitchv1.Route{Host: host + fmt.Sprint(i), PathPrefix: "/" + host + "/", Destination: &ridgeswitchv1.Route_Pool{Pool: "summaries"}}
			})
		}, "oversize "),
		Entry("several faults at once", func(c *config) {
			c.Tenants[0].Limits.Burst = 0
			c.Pools[0].Store = "other"
			c.Routes[1].Host = c.Routes[0].Host
		}, "out_of_range tenants[0].limits.burst", "dangling_reference pools[0].store", "duplicate routes[1].host"),
	)

	It("accepts the largest number of routes and an empty configuration, but not a missing one", func() {
		configuration := validConfiguration()
		configuration.Routes = repeated(dynamic.MaxRoutes-1, func(i int) *ridgeswitchv1.Route {
			return &ridgeswitchv1.Route{Host: fmt.Sprint("h", i), Destination: &ridgeswitchv1.Route_Pool{Pool: "summaries"}}
		})
		Expect(dynamic.Validate(configuration)).To(Succeed())
		Expect(dynamic.Validate(&config{})).To(Succeed())
		Expect(faultsOf(dynamic.Validate(nil))).To(Equal([]string{"missing configuration"}))
	})

	It("lists all faults in one problem, up to a bound", func() {
		configuration := validConfiguration()
		configuration.Routes = repeated(29, func(int) *ridgeswitchv1.Route { return &ridgeswitchv1.Route{Host: "h"} })
		var faults dynamic.Errors
		Expect(errors.As(dynamic.Validate(configuration), &faults)).To(BeTrue())
		problem := faults.Problem()
		Expect(problem.GetKind()).To(Equal("missing"))
		Expect(problem.GetField()).To(Equal("routes[0]"))
		Expect(problem.GetMessage()).To(HavePrefix("59 faults: routes[0]: has no destination"))
		Expect(problem.GetMessage()).To(HaveSuffix("and 39 more"))
	})
})
