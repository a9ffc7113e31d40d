package static

import (
	"time"
)

// Bounds of the settings.
const (
	// MaxSeeds bounds the addresses of other nodes in the settings.
	MaxSeeds = 3
	// MaxGroup bounds the nodes that may replicate control state.
	MaxGroup = 15
	// MaxServiceShards bounds the shards of service state.
	MaxServiceShards = 1024
	// MinContactTimeout leaves time for several heartbeats and an election.
	MinContactTimeout = 2 * time.Second
	// MaxContactTimeout bounds how long a node that no longer responds counts as in contact.
	MaxContactTimeout = time.Minute
	// MinAcknowledgeTimeout leaves time for an election.
	MinAcknowledgeTimeout = time.Second
	// MaxAcknowledgeTimeout bounds the wait for an acknowledgement.
	MaxAcknowledgeTimeout = time.Minute
	// MinTickEvery bounds the processor time that ticks take.
	MinTickEvery = 5 * time.Millisecond
	// MaxTickEvery leaves several ticks in one heartbeat.
	MaxTickEvery = 50 * time.Millisecond
	// MaxDrainTimeout bounds the time to finish requests.
	MaxDrainTimeout = time.Hour
	// MinHeartbeatEvery bounds the traffic of heartbeats.
	MinHeartbeatEvery = 10 * time.Millisecond
	// MaxHeartbeatEvery leaves several heartbeats in the second after which a
	// node without contact stops serving.
	MaxHeartbeatEvery = 250 * time.Millisecond
	// MinHeapGrowthPercent bounds the processor time of garbage collection.
	MinHeapGrowthPercent = 10
	// MaxHeapGrowthPercent bounds the growth of the heap.
	MaxHeapGrowthPercent = 1000
	// MinPlatformPollEvery bounds the load on the platform.
	MinPlatformPollEvery = 50 * time.Millisecond
	// MaxPlatformPollEvery bounds how long draining replicas still get requests.
	MaxPlatformPollEvery = time.Second
	// MaxCommandGap bounds how long a new leader waits before it commands replicas.
	MaxCommandGap = time.Minute
	// MaxMachineMB bounds the disk and the memory of a machine.
	MaxMachineMB = 1 << 30
	// MaxWeightsDeadline bounds the deadline of a weights roll-out.
	MaxWeightsDeadline = time.Hour
	// MaxRetryPercent bounds the retry budget.
	MaxRetryPercent = 100
	// MaxRetryWindow bounds the window of the retry budget.
	MaxRetryWindow = 10 * time.Minute
	// MaxRetrySlack bounds the retries beyond the percentage.
	MaxRetrySlack = 1 << 20
	// MaxBackendRetry bounds when callers may come back.
	MaxBackendRetry = time.Minute
	// MinEjection leaves time for the requests that were on their way.
	MinEjection = 100 * time.Millisecond
	// MaxEjection bounds how long an outlier is ejected the first time.
	MaxEjection = time.Minute
	// MaxEjectedPercent bounds the percentage of ejected back ends.
	MaxEjectedPercent = 100
	// MaxLogRing bounds the log entries kept in memory.
	MaxLogRing = 1 << 20
	// maxNameBytes bounds node and zone names.
	maxNameBytes = 128
	// maxFileBytes bounds the settings file.
	maxFileBytes = 1 << 20
)
