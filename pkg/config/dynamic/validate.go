package dynamic

import (
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// Validate checks every rule of a configuration. It returns nil, or Errors with all
// faults up to MaxFaults; for a nil configuration it returns an *Error.
func Validate(configuration *ridgeswitchv1.Configuration) error {
	if configuration == nil {
		return &Error{Kind: KindMissing, Field: "configuration", Message: "is missing; give the whole configuration"}
	}
	validation := &validation{
		names: nameSets{
			tenants:     newUniqueSet("tenant"),
			digests:     newUniqueSet("key digest"),
			pools:       newUniqueSet("pool"),
			webServices: newUniqueSet("web service"),
			services:    newUniqueSet("platform service"),
			stores:      newUniqueSet("store"),
			routes:      newUniqueSet("host and path prefix"),
			zones:       newUniqueSet("evacuated zone"),
		},
	}
	validation.run(configuration)
	return validation.faults.orNil()
}

// nameSets are the values that must be unique in a configuration, by kind.
type nameSets struct {
	tenants, digests, pools, webServices, services, stores, routes, zones *uniqueSet
}

// validation is the state of one call of Validate. Each of its methods checks one field or
// message. Like the checks of checker, they take the path of the field, which becomes part
// of faults.
type validation struct {
	checker
	names nameSets
}

// run checks all elements of a configuration. Elements are checked after those that they
// refer to.
func (v *validation) run(configuration *ridgeswitchv1.Configuration) {
	if size := proto.Size(configuration); size > MaxConfigurationBytes {
		v.add(KindOversize, "", "configuration takes %d bytes; reduce it to at most %d", size, MaxConfigurationBytes)
	}
	checkEach(&v.checker, "tenants", configuration.GetTenants(), MaxTenants, v.tenant)
	checkEach(&v.checker, "stores", configuration.GetStores(), MaxStores, v.store)
	checkEach(&v.checker, "pools", configuration.GetPools(), MaxPools, v.pool)
	checkEach(&v.checker, "web_services", configuration.GetWebServices(), MaxWebServices, v.webService)
	checkEach(&v.checker, "routes", configuration.GetRoutes(), MaxRoutes, v.route)
	v.callerLimits("caller_limits", configuration.GetCallerLimits())
	checkEach(&v.checker, "evacuations", configuration.GetEvacuations(), MaxEvacuations, v.evacuation)
}

// uniqueName checks an identifier that no other element of the same kind may have.
func (v *validation) uniqueName(set *uniqueSet, path, value string) {
	v.name(path, value)
	v.unique(set, path, value)
}

func (v *validation) tenant(path string, tenant *ridgeswitchv1.Tenant) {
	v.uniqueName(v.names.tenants, path+".name", tenant.GetName())
	keyNames := newUniqueSet("key name")
	checkEach(&v.checker, path+".keys", tenant.GetKeys(), MaxKeysPerTenant, func(path string, key *ridgeswitchv1.Key) {
		v.key(path, key)
		v.unique(keyNames, path+".name", key.GetName())
		v.unique(v.names.digests, path+".sha256", key.GetSha256())
	})
	v.limits(path+".limits", tenant.GetLimits())
	v.priority(path+".priority", tenant.GetPriority())
}

// key checks the form of one key.
func (c *checker) key(path string, key *ridgeswitchv1.Key) {
	c.name(path+".name", key.GetName())
	c.digest(path+".sha256", key.GetSha256())
}

func (v *validation) limits(path string, limits *ridgeswitchv1.Limits) {
	if limits == nil {
		v.add(KindMissing, path, "is missing; give every limit of the tenant")
		return
	}
	v.rate(path+".requests_per_second", limits.GetRequestsPerSecond(), MaxRequestsPerSecond)
	v.positive(path+".burst", limits.GetBurst(), MaxBurst)
	v.positive(path+".concurrent_requests", limits.GetConcurrentRequests(), MaxConcurrentRequests)
	v.positive(path+".queued_requests", limits.GetQueuedRequests(), MaxQueuedRequests)
	v.timeout(path+".queue_timeout_ms", limits.GetQueueTimeoutMs(), MaxQueueTimeout)
}

func (v *validation) store(path string, store *ridgeswitchv1.Store) {
	v.uniqueName(v.names.stores, path+".name", store.GetName())
	v.address(path+".address", store.GetAddress())
	v.name(path+".zone", store.GetZone())
	v.atMost(path+".memory_tokens", store.GetMemoryTokens(), MaxMemoryTokens)
	v.nonNegative(path+".link_bits_per_second", store.GetLinkBitsPerSecond(), MaxLinkBitsPerSecond)
	v.atMost(path+".max_report_readers", uint64(store.GetMaxReportReaders()), MaxReportReaders)
}

func (v *validation) pool(path string, pool *ridgeswitchv1.Pool) {
	v.uniqueName(v.names.pools, path+".name", pool.GetName())
	v.label(path+".model", pool.GetModel())
	v.service(path+".service", pool.GetService())
	if pool.GetStore() != "" {
		v.reference(v.names.stores, path+".store", pool.GetStore())
	}
	if pool.GetWeightVersion() != "" {
		v.label(path+".weight_version", pool.GetWeightVersion())
	}
	v.timeout(path+".request_timeout_ms", pool.GetRequestTimeoutMs(), MaxRequestTimeout)
	v.routing(path+".routing", pool.GetRouting())
	v.engine(path+".engine", pool.GetEngine())
	v.backends(path+".backends", pool.GetBackends())
}

// service checks the name under which the platform lists the back ends of a
// destination. It must be unique: two pools with the same service could require different
// weight versions of the same replicas.
func (v *validation) service(path, service string) {
	v.uniqueName(v.names.services, path, service)
}

func (v *validation) routing(path string, routing *ridgeswitchv1.Routing) {
	v.nonNegative(path+".prefill_load_scale", routing.GetPrefillLoadScale(), MaxRoutingParameter)
	v.nonNegative(path+".request_weight", routing.GetRequestWeight(), MaxRoutingParameter)
	v.nonNegative(path+".peer_credit", routing.GetPeerCredit(), 1)
	v.nonNegative(path+".store_credit", routing.GetStoreCredit(), 1)
	v.nonNegative(path+".temperature", routing.GetTemperature(), MaxRoutingParameter)
}

func (v *validation) webService(path string, service *ridgeswitchv1.WebService) {
	v.uniqueName(v.names.webServices, path+".name", service.GetName())
	v.service(path+".service", service.GetService())
	v.timeout(path+".request_timeout_ms", service.GetRequestTimeoutMs(), MaxRequestTimeout)
	v.backends(path+".backends", service.GetBackends())
}

func (v *validation) evacuation(path string, evacuation *ridgeswitchv1.ZoneEvacuation) {
	v.uniqueName(v.names.zones, path+".zone", evacuation.GetZone())
	v.reason(path+".reason", evacuation.GetReason())
}
