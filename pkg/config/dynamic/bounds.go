package dynamic

import "time"

// Bounds of a configuration. They keep the state of a node, a snapshot and the
// frames between nodes bounded.
const (
	// MaxDocumentBytes bounds a configuration as JSON text.
	MaxDocumentBytes = 16 << 20
	// MaxConfigurationBytes bounds a configuration as nodes hold and relay it.
	// Together with a source document it has to fit one frame between nodes.
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
	// MaxEvacuationChanges bounds the zones of which it is remembered when their
	// evacuation last began or ended.
	MaxEvacuationChanges = 4 * MaxEvacuations

	// MaxNameBytes bounds names, order identities and weight versions.
	MaxNameBytes = 128
	// MaxHostBytes bounds the host name of a route, as DNS does.
	MaxHostBytes = 253
	// MaxPathBytes bounds the path prefix of a route and the path of a health
	// check.
	MaxPathBytes = 1024
	// MaxReasonBytes bounds the reason of an evacuation.
	MaxReasonBytes = 1024

	// MaxSplit bounds the destinations that one route is split over.
	MaxSplit = 64
	// MaxWeight bounds the weight of one destination of a split.
	MaxWeight = 1_000_000
	// MaxPriority is the least urgent priority; 0 is the most urgent one.
	MaxPriority = 9
	// MaxAttempts bounds the back ends that one request may be sent to.
	MaxAttempts = 100

	// MaxRequestsPerSecond bounds a tenant's rate on one node.
	MaxRequestsPerSecond = 1e6
	// MaxBurst bounds a tenant's burst on one node.
	MaxBurst = 1_000_000
	// MaxConcurrentRequests bounds a tenant's running requests on one node.
	MaxConcurrentRequests = 100_000
	// MaxQueuedRequests bounds a tenant's waiting requests on one node.
	MaxQueuedRequests = 100_000
	// MaxQueueTimeout bounds a wait for a free slot.
	MaxQueueTimeout = 10 * time.Minute
	// MaxRequestTimeout bounds the time of one request.
	MaxRequestTimeout = 24 * time.Hour
	// MaxSlowStart bounds the time for which a back end warms up after a start.
	MaxSlowStart = time.Hour
	// MaxBackendConnections bounds the limit on the connections to one back end.
	MaxBackendConnections = 1_000_000
	// MaxReportReaders bounds the readers of a back end's reports.
	MaxReportReaders = 1_000_000

	// MaxEngineSlots bounds the requests that a replica runs at once.
	MaxEngineSlots = 100_000
	// MaxMemoryTokens bounds the tokens that a replica or a store can cache.
	MaxMemoryTokens = 1e12
	// MaxTokenBytes bounds the size of the KV cache of one token.
	MaxTokenBytes = 1 << 30
	// MaxTokensPerEvent bounds the tokens of one event of a stream.
	MaxTokensPerEvent = 1_000_000
	// MaxLinkBitsPerSecond bounds the rate at which cached chunks move.
	MaxLinkBitsPerSecond = 1e15

	// MaxCallerHeaderBytes bounds what a caller's header may be allowed to take.
	MaxCallerHeaderBytes = 1 << 20
	// MaxCallerBodyBytes bounds what a caller's body may be allowed to take.
	MaxCallerBodyBytes = 1 << 32
	// MaxCallerHeaderTimeout bounds the wait for a caller's header.
	MaxCallerHeaderTimeout = 10 * time.Minute
	// MaxCallerIdleTimeout bounds the wait for a caller's next request.
	MaxCallerIdleTimeout = 24 * time.Hour

	// MaxRoutingParameter bounds the scales, weights and temperature of selection.
	MaxRoutingParameter = 1e6

	// MaxFaults bounds the faults that are reported at once.
	MaxFaults = 1000
	// MaxAnswers bounds the accepted orders that are remembered.
	MaxAnswers = 4096
)
