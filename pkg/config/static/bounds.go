package static

import (
	"time"
)

// Bounds of the settings.
const (
	// MaxSeeds bounds the number of addresses in Settings.Seeds.
	MaxSeeds = 3
	// MaxGroup bounds the number of nodes in Settings.Group, which replicate control state.
	MaxGroup = 15
	// MaxServiceShards bounds the number of shards of service state.
	MaxServiceShards = 1024
	// MinContactTimeout leaves time for several heartbeats and an election.
	MinContactTimeout = 2 * time.Second
	// MaxContactTimeout bounds how long an unresponsive node counts as in contact.
	MaxContactTimeout = time.Minute
	// MinAcknowledgeTimeout leaves time for an election.
	MinAcknowledgeTimeout = time.Second
	// MaxAcknowledgeTimeout bounds the wait for the acknowledgement of an operator's order.
	MaxAcknowledgeTimeout = time.Minute
	// MinTickEvery bounds the processor time that ticks take.
	MinTickEvery = 5 * time.Millisecond
	// MaxTickEvery leaves two ticks in DefaultHeartbeatEvery.
	MaxTickEvery = 50 * time.Millisecond
	// MaxDrainTimeout bounds the time to finish requests after SIGTERM.
	MaxDrainTimeout = time.Hour
	// MinHeartbeatEvery bounds the traffic of heartbeats.
	MinHeartbeatEvery = 10 * time.Millisecond
	// MaxHeartbeatEvery leaves several heartbeats in the second after which a node stops
	// serving if other nodes do not acknowledge its heartbeats.
	MaxHeartbeatEvery = 250 * time.Millisecond
	// MinHeapGrowthPercent bounds the processor time of garbage collection.
	MinHeapGrowthPercent = 10
	// MaxHeapGrowthPercent bounds the growth of the heap between garbage collections.
	MaxHeapGrowthPercent = 1000
	// MinPlatformPollEvery bounds the load on the platform.
	MinPlatformPollEvery = 50 * time.Millisecond
	// MaxPlatformPollEvery bounds how long replicas get requests after the platform has
	// begun to drain them.
	MaxPlatformPollEvery = time.Second
	// MaxCommandGap bounds how long a new leader waits before it commands replicas.
	MaxCommandGap = time.Minute
	// MaxMachineMB bounds the disk space and the memory of a machine, in mebibytes.
	MaxMachineMB = 1 << 30
	// MaxWeightsDeadline bounds the deadline for the roll-out of a weight version.
	MaxWeightsDeadline = time.Hour
	// MaxRetryPercent bounds the percentage of requests that may be retried.
	MaxRetryPercent = 100
	// MaxRetryWindow bounds the length of the window of the retry budget.
	MaxRetryWindow = 10 * time.Minute
	// MaxRetrySlack bounds the number of retries permitted beyond RetryPercent.
	MaxRetrySlack = 1 << 20
	// MaxBackendRetry bounds the time after which callers may retry after a failure of a
	// back end.
	MaxBackendRetry = time.Minute
	// MinEjection leaves time for requests that were in flight when the back end was ejected.
	MinEjection = 100 * time.Millisecond
	// MaxEjection bounds how long an outlier is ejected the first time.
	MaxEjection = time.Minute
	// MaxEjectedPercent bounds the percentage of back ends that may be ejected.
	MaxEjectedPercent = 100
	// MaxOpenFiles bounds the files and connections of a node.
	MaxOpenFiles = 1 << 30
	// MaxLogRing bounds the number of log entries kept in memory.
	MaxLogRing = 1 << 20
	// maxNameBytes bounds the names of nodes, zones and deployments.
	maxNameBytes = 128
	// maxFileBytes bounds the size of the settings file.
	maxFileBytes = 1 << 20
)
