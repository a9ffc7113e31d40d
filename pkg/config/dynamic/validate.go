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

// validation is the state of one call of Validate.
type validation struct {
	checker
	names nameSets
}

// run checks each kind of element after those that it refers to.
func (v *validation) run(configuration *ridgeswitchv1.Configuration) {
	v.size(configuration)
	v.tenants(configuration.GetTenants())
	v.stores(configuration.GetStores())
	v.pools(configuration.GetPools())
	v.webServices(configuration.GetWebServices())
	v.routes(configuration.GetRoutes())
	v.callerLimits("caller_limits", configuration.GetCallerLimits())
	v.evacuations(configuration.GetEvacuations())
}

// uniqueName checks an identifier that no other element of the same kind may have.
func (v *validation) uniqueName(set *uniqueSet, path, value string) {
	v.name(path, value)
	v.unique(set, path, value)
}

func (v *validation) size(configuration *ridgeswitchv1.Configuration) {
	size := proto.Size(configuration)
	if size > MaxConfigurationBytes {
		v.add(KindOversize, "", "configuration takes %d bytes; reduce it to at most %d", size, MaxConfigurationBytes)
	}
}

func (v *validation) tenants(tenants []*ridgeswitchv1.Tenant) {
	v.count("tenants", len(tenants), MaxTenants)
	for i, tenant := range tenants {
		path := itemPath("tenants", i)
		v.uniqueName(v.names.tenants, path+".name", tenant.GetName())
		v.keys(path+".keys", tenant.GetKeys())
		v.limits(path+".limits", tenant.GetLimits())
		v.priority(path+".priority", tenant.GetPriority())
	}
}

func (v *validation) keys(field string, keys []*ridgeswitchv1.Key) {
	v.count(field, len(keys), MaxKeysPerTenant)
	names := newUniqueSet("key name")
	for i, key := range keys {
		path := itemPath(field, i)
		v.key(path, key)
		v.unique(names, path+".name", key.GetName())
		v.unique(v.names.digests, path+".sha256", key.GetSha256())
	}
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

func (v *validation) stores(stores []*ridgeswitchv1.Store) {
	v.count("stores", len(stores), MaxStores)
	for i, store := range stores {
		path := itemPath("stores", i)
		v.uniqueName(v.names.stores, path+".name", store.GetName())
		v.address(path+".address", store.GetAddress())
		v.name(path+".zone", store.GetZone())
		v.memory(path+".memory_tokens", store.GetMemoryTokens())
		v.nonNegative(path+".link_bits_per_second", store.GetLinkBitsPerSecond(), MaxLinkBitsPerSecond)
		v.atMost(path+".max_report_readers", uint64(store.GetMaxReportReaders()), MaxReportReaders)
	}
}

func (v *validation) pools(pools []*ridgeswitchv1.Pool) {
	v.count("pools", len(pools), MaxPools)
	for i, pool := range pools {
		path := itemPath("pools", i)
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
}

// service checks the name under which the platform lists the back ends of a
// destination. It must be unique: two pools of one service could demand two weight
// versions from the same replicas.
func (v *validation) service(path, service string) {
	v.uniqueName(v.names.services, path, service)
}

func (v *validation) routing(path string, routing *ridgeswitchv1.Routing) {
	v.nonNegative(path+".prefill_load_scale", routing.GetPrefillLoadScale(), MaxRoutingKnob)
	v.nonNegative(path+".request_weight", routing.GetRequestWeight(), MaxRoutingKnob)
	v.nonNegative(path+".peer_credit", routing.GetPeerCredit(), 1)
	v.nonNegative(path+".store_credit", routing.GetStoreCredit(), 1)
	v.nonNegative(path+".temperature", routing.GetTemperature(), MaxRoutingKnob)
}

func (v *validation) webServices(services []*ridgeswitchv1.WebService) {
	v.count("web_services", len(services), MaxWebServices)
	for i, service := range services {
		path := itemPath("web_services", i)
		v.uniqueName(v.names.webServices, path+".name", service.GetName())
		v.service(path+".service", service.GetService())
		v.timeout(path+".request_timeout_ms", service.GetRequestTimeoutMs(), MaxRequestTimeout)
		v.backends(path+".backends", service.GetBackends())
	}
}

func (v *validation) evacuations(evacuations []*ridgeswitchv1.ZoneEvacuation) {
	v.count("evacuations", len(evacuations), MaxEvacuations)
	for i, evacuation := range evacuations {
		path := itemPath("evacuations", i)
		v.uniqueName(v.names.zones, path+".zone", evacuation.GetZone())
		v.reason(path+".reason", evacuation.GetReason())
	}
}
