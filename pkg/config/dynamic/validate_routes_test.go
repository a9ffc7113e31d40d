package dynamic_test

import (
	"math"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

func toPool(pool string, weight uint32) *ridgeswitchv1.WeightedDestination {
	return &ridgeswitchv1.WeightedDestination{Destination: &ridgeswitchv1.WeightedDestination_Pool{Pool: pool}, Weight: weight}
}

func toWebService(service string, weight uint32) *ridgeswitchv1.WeightedDestination {
	return &ridgeswitchv1.WeightedDestination{Destination: &ridgeswitchv1.WeightedDestination_WebService{WebService: service}, Weight: weight}
}

// fullRoute returns a valid route with every field set, and a split as its destination.
func fullRoute() *ridgeswitchv1.Route {
	return &ridgeswitchv1.Route{
		Host:            "full.example",
		Split:           []*ridgeswitchv1.WeightedDestination{toPool("summaries", 90), toWebService("calendar", 0)},
		Public:          true,
		Name:            "full",
		PathPrefix:      "/a/b/",
		Kind:            ridgeswitchv1.RequestKind_STREAMING,
		TimeoutMs:       1000,
		TargetLatencyMs: 100,
		TargetGapMs:     10,
		MaxAttempts:     3,
		Priority:        9,
		Resumable:       true,
	}
}

func fullEngine() *ridgeswitchv1.Engine {
	return &ridgeswitchv1.Engine{Slots: 64, MemoryTokens: 188_939, TokenBytes: 35_136, LinkBitsPerSecond: 740e9, TokensPerEvent: 5, MaxReportReaders: 12}
}

var _ = Describe("Validate, on routes and back ends", func() {
	It("accepts every field", func() {
		configuration := validConfiguration()
		configuration.Routes = append(configuration.Routes, fullRoute())
		configuration.Pools[0].Engine = fullEngine()
		configuration.Pools[0].WeightVersion = ""
		configuration.Pools[0].Backends = &ridgeswitchv1.BackendLimits{MaxConnections: 370, HealthPath: "/healthz", ColdStartMs: 3000, ColdRequestsPerSecond: 5.2}
		configuration.WebServices[0].Backends = &ridgeswitchv1.BackendLimits{}
		configuration.Stores[0].MemoryTokens = 2_309_790
		configuration.Stores[0].LinkBitsPerSecond = 37e9
		configuration.Tenants[0].Priority = proto.Uint32(0)
		configuration.CallerLimits = &ridgeswitchv1.CallerLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}
		configuration.Source = &ridgeswitchv1.SourceVersion{Version: 7}
		Expect(dynamic.Validate(configuration)).To(Succeed())
	})

	It("accepts a public route to a pool, and one host with several prefixes and without one", func() {
		configuration := validConfiguration()
		configuration.Routes[0].Public = true
		for _, prefix := range []string{"/a/", "/a/b/", "/b/"} {
			route := proto.CloneOf(configuration.GetRoutes()[0])
			route.PathPrefix = prefix
			configuration.Routes = append(configuration.Routes, route)
		}
		Expect(dynamic.Validate(configuration)).To(Succeed())
	})

	DescribeTable("finds each fault of a route", func(change func(route *ridgeswitchv1.Route), faults ...string) {
		configuration := validConfiguration()
		route := fullRoute()
		change(route)
		configuration.Routes = []*ridgeswitchv1.Route{route}
		Expect(faultsOf(dynamic.Validate(configuration))).To(Equal(faults))
	},
		Entry("prefix without a first slash", func(r *ridgeswitchv1.Route) { r.PathPrefix = "a/" }, "invalid routes[0].path_prefix"),
		Entry("prefix without a last slash", func(r *ridgeswitchv1.Route) { r.PathPrefix = "/a" }, "invalid routes[0].path_prefix"),
		Entry("prefix with a space", func(r *ridgeswitchv1.Route) { r.PathPrefix = "/a b/" }, "invalid routes[0].path_prefix"),
		Entry("prefix too long", func(r *ridgeswitchv1.Route) { r.PathPrefix = "/" + strings.Repeat("a", 1024) + "/" }, "oversize routes[0].path_prefix"),
		Entry("name with a space", func(r *ridgeswitchv1.Route) { r.Name = "a b" }, "invalid routes[0].name"),
		Entry("destination and split", func(r *ridgeswitchv1.Route) { r.Destination = &ridgeswitchv1.Route_Pool{Pool: "summaries"} }, "invalid routes[0].split"),
		Entry("neither destination nor split", func(r *ridgeswitchv1.Route) { r.Split = nil }, "missing routes[0]"),
		Entry("weights add up to 0", func(r *ridgeswitchv1.Route) { r.Split[0].Weight = 0 }, "out_of_range routes[0].split"),
		Entry("weight too large", func(r *ridgeswitchv1.Route) { r.Split[0].Weight = 1_000_001 }, "out_of_range routes[0].split[0].weight"),
		Entry("destination of a split missing", func(r *ridgeswitchv1.Route) { r.Split[1] = nil }, "missing routes[0].split[1]"),
		Entry("split with an unknown pool", func(r *ridgeswitchv1.Route) { r.Split[0] = toPool("other", 1) }, "dangling_reference routes[0].split[0].pool"),
		Entry("split with an empty web service", func(r *ridgeswitchv1.Route) { r.Split[1] = toWebService("", 1) }, "dangling_reference routes[0].split[1].web_service"),
		Entry("too many destinations of a split", func(r *ridgeswitchv1.Route) {
			r.Split = repeated(dynamic.MaxSplit, func(int) *ridgeswitchv1.WeightedDestination { return toPool("summaries", 1) })
		}, "oversize routes[0].split"),
		Entry("unknown kind", func(r *ridgeswitchv1.Route) { r.Kind = 17 }, "invalid routes[0].kind"),
		Entry("times too long", func(r *ridgeswitchv1.Route) {
			r.TimeoutMs, r.TargetLatencyMs, r.TargetGapMs = 86_400_001, 86_400_001, 86_400_001
		}, "out_of_range routes[0].timeout_ms", "out_of_range routes[0].target_latency_ms", "out_of_range routes[0].target_gap_ms"),
		Entry("too many attempts", func(r *ridgeswitchv1.Route) { r.MaxAttempts = 101 }, "out_of_range routes[0].max_attempts"),
		Entry("priority too large", func(r *ridgeswitchv1.Route) { r.Priority = 10 }, "out_of_range routes[0].priority"),
	)

	DescribeTable("finds each fault outside the fields of one route", func(change func(c *config), faults ...string) {
		configuration := validConfiguration()
		configuration.Pools[0].Engine = fullEngine()
		configuration.Pools[0].Backends = &ridgeswitchv1.BackendLimits{}
		configuration.WebServices[0].Backends = &ridgeswitchv1.BackendLimits{}
		configuration.CallerLimits = &ridgeswitchv1.CallerLimits{}
		change(configuration)
		Expect(faultsOf(dynamic.Validate(configuration))).To(Equal(faults))
	},
		Entry("host and prefix used twice", func(c *config) {
			c.Routes[0].PathPrefix = "/a/"
			c.Routes = append(c.Routes, proto.CloneOf(c.Routes[0]))
		}, "duplicate routes[2].path_prefix"),
		Entry("host used twice for every path, with an empty prefix and a slash", func(c *config) {
			c.Routes = append(c.Routes, proto.CloneOf(c.Routes[0]))
			c.Routes[2].PathPrefix = "/"
		}, "duplicate routes[2].path_prefix"),
		Entry("tenant's priority too large", func(c *config) { c.Tenants[0].Priority = proto.Uint32(10) }, "out_of_range tenants[0].priority"),
		Entry("engine without slots and memory", func(c *config) { c.Pools[0].Engine = &ridgeswitchv1.Engine{} },
			"out_of_range pools[0].engine.slots", "out_of_range pools[0].engine.memory_tokens"),
		Entry("engine out of range", func(c *config) {
			c.Pools[0].Engine = &ridgeswitchv1.Engine{
				Slots: 100_001, MemoryTokens: 1e12 + 1, TokenBytes: 1<<30 + 1,
				LinkBitsPerSecond: math.Inf(1), TokensPerEvent: 1_000_001, MaxReportReaders: 1_000_001,
			}
		}, "out_of_range pools[0].engine.slots", "out_of_range pools[0].engine.memory_tokens", "out_of_range pools[0].engine.token_bytes",
			"out_of_range pools[0].engine.link_bits_per_second", "out_of_range pools[0].engine.tokens_per_event", "out_of_range pools[0].engine.max_report_readers"),
		Entry("limits of a pool's back ends", func(c *config) {
			c.Pools[0].Backends = &ridgeswitchv1.BackendLimits{MaxConnections: 1_000_001, HealthPath: "healthz", ColdStartMs: 3_600_001, ColdRequestsPerSecond: math.NaN()}
		}, "out_of_range pools[0].backends.max_connections", "invalid pools[0].backends.health_path",
			"out_of_range pools[0].backends.cold_start_ms", "out_of_range pools[0].backends.cold_requests_per_second"),
		Entry("health path of a web service's back ends", func(c *config) { c.WebServices[0].Backends.HealthPath = "/a b" }, "invalid web_services[0].backends.health_path"),
		Entry("store out of range", func(c *config) {
			c.Stores[0].MemoryTokens, c.Stores[0].LinkBitsPerSecond, c.Stores[0].MaxReportReaders = 1e12+1, -1, 1_000_001
		}, "out_of_range stores[0].memory_tokens", "out_of_range stores[0].link_bits_per_second", "out_of_range stores[0].max_report_readers"),
		Entry("caller limits out of range", func(c *config) {
			c.CallerLimits = &ridgeswitchv1.CallerLimits{MaxHeaderBytes: 1<<20 + 1, MaxBodyBytes: 1<<32 + 1, HeaderTimeoutMs: 600_001, IdleTimeoutMs: 86_400_001}
		}, "out_of_range caller_limits.max_header_bytes", "out_of_range caller_limits.max_body_bytes",
			"out_of_range caller_limits.header_timeout_ms", "out_of_range caller_limits.idle_timeout_ms"),
	)
})
