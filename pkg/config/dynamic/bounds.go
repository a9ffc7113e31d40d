package dynamic

import "time"

// Bounds of a configuration. They also bound the state of a node, its snapshots and the
// frames between nodes.
const (
	// MaxDocumentBytes bounds the JSON text of a configuration or request.
	MaxDocumentBytes = 16 << 20
	// MaxConfigurationBytes bounds the protobuf encoding of a configuration. A
	// configuration and its source document must fit into one frame between nodes.
	MaxConfigurationBytes = 6 << 20
	// MaxSourceBytes bounds the source document of a configuration.
	MaxSourceBytes = 8 << 20

	// MaxTenants bounds the tenants of a configuration.
	MaxTenants = 32768
	// MaxKeysPerTenant bounds the keys of one tenant.
	MaxKeysPerTenant = 1024
	// MaxPools bounds the pools of a configuration.
	MaxPools = 1024
	// MaxWebServices bounds the web services of a configuration.
	MaxWebServices = 1024
	// MaxStores bounds the stores of a configuration.
	MaxStores = 256
	// MaxRoutes bounds the routes of a configuration.
	MaxRoutes = 20000
	// MaxEvacuations bounds the evacuated zones of a configuration.
	MaxEvacuations = 64
	// MaxEvacuationChanges bounds the zones for which a Machine stores the revision in
	// which their evacuation last began or ended.
	MaxEvacuationChanges = 4 * MaxEvacuations
	// MaxModelWeights bounds the models whose newest weight version a Machine stores beside
	// the versions of the pools in force.
	MaxModelWeights = 4 * MaxPools

	// MaxNameBytes bounds names, order identities and weight versions.
	MaxNameBytes = 128
	// MaxHostBytes bounds the host name of a route, as DNS does.
	MaxHostBytes = 253
	// MaxPathBytes bounds the path prefix of a route and the path of a health
	// check.
	MaxPathBytes = 1024
	// MaxReasonBytes bounds the reason of an evacuation.
	MaxReasonBytes = 1024

	// MaxSplit bounds the destinations that the requests of one route are split over.
	MaxSplit = 64
	// MaxWeight bounds the weight of one destination of a split.
	MaxWeight = 1_000_000
	// MaxPriority is the least urgent priority; 0 is the most urgent one.
	MaxPriority = 9
	// MaxAttempts bounds the back ends that one request may be sent to.
	MaxAttempts = 100

	// MaxRequestsPerSecond bounds a tenant's rate on one node, and the rate of requests to
	// a cold back end.
	MaxRequestsPerSecond = 1e6
	// MaxBurst bounds a tenant's burst on one node.
	MaxBurst = 1_000_000
	// MaxConcurrentRequests bounds a tenant's running requests on one node.
	MaxConcurrentRequests = 100_000
	// MaxQueuedRequests bounds a tenant's waiting requests on one node.
	MaxQueuedRequests = 100_000
	// MaxQueueTimeout bounds the time that a request waits for a free slot.
	MaxQueueTimeout = 10 * time.Minute
	// MaxRequestTimeout bounds the time of one request.
	MaxRequestTimeout = 24 * time.Hour
	// MaxSlowStart bounds the time for which a back end warms up after a start.
	MaxSlowStart = time.Hour
	// MaxBackendConnections bounds the limit on the connections to one back end.
	MaxBackendConnections = 1_000_000
	// MaxReportReaders bounds the limit on the readers of the reports of a replica or
	// store.
	MaxReportReaders = 1_000_000

	// MaxEngineSlots bounds the requests that a replica runs at once.
	MaxEngineSlots = 100_000
	// MaxMemoryTokens bounds the tokens that a replica or a store can cache.
	MaxMemoryTokens = 1e12
	// MaxTokenBytes bounds the size of the KV cache of one token.
	MaxTokenBytes = 1 << 30
	// MaxTokensPerEvent bounds the tokens of one event of a stream.
	MaxTokensPerEvent = 1_000_000
	// MaxLinkBitsPerSecond bounds the rate at which a replica or store transfers cached
	// prompt chunks.
	MaxLinkBitsPerSecond = 1e15

	// MaxCallerHeaderBytes bounds the limit on the size of a request's header.
	MaxCallerHeaderBytes = 1 << 20
	// MaxCallerBodyBytes bounds the limit on the size of a request's body.
	MaxCallerBodyBytes = 1 << 32
	// MaxCallerHeaderTimeout bounds the time-out for the arrival of a request's header.
	MaxCallerHeaderTimeout = 10 * time.Minute
	// MaxCallerIdleTimeout bounds the time-out for the next request on a caller's
	// connection.
	MaxCallerIdleTimeout = 24 * time.Hour

	// MaxRoutingParameter bounds the scale, the weight and the temperature of the
	// selection of replicas (see Routing).
	MaxRoutingParameter = 1e6

	// MaxFaults bounds the faults that are reported at once.
	MaxFaults = 1000
	// MaxAnswers bounds the accepted orders whose answers a Machine stores.
	MaxAnswers = 4096
)
