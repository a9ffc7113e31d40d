package static

import (
	"time"
)

// Defaults of the settings that a file may leave out.
const (
	// DefaultServiceShards is the number of shards of service state. It must be
	// the same on every node of a deployment.
	DefaultServiceShards = 16
	// DefaultSeededServiceShards is DefaultServiceShards where nodes with disks
	// find each other through seeds.
	DefaultSeededServiceShards = 1
	// DefaultContact is how long a node that no longer responds counts as in contact.
	DefaultContact = 3 * time.Second
	// DefaultAcknowledge bounds the wait for the acknowledgement of an order.
	DefaultAcknowledge = 4 * time.Second
	// DefaultTickEvery is the interval of the control machine's ticks.
	DefaultTickEvery = 20 * time.Millisecond
	// DefaultDrainTimeout bounds the time to finish requests after SIGTERM.
	DefaultDrainTimeout = 20 * time.Second
	// DefaultHeartbeatEvery is the interval of heartbeats between nodes.
	DefaultHeartbeatEvery = 100 * time.Millisecond
	// DefaultPlatformPollEvery is the interval at which the platform's endpoint list of
	// replicas is read.
	DefaultPlatformPollEvery = time.Second
	// DefaultCommandGap is how far apart the commands of two nodes to one replica
	// are at least.
	DefaultCommandGap = 3 * time.Second
	// DefaultRetryPercent is the percentage of requests that may be retried.
	DefaultRetryPercent = 20
	// DefaultRetryWindow is the window of the retry budget.
	DefaultRetryWindow = 10 * time.Second
	// DefaultBackendRetry is when callers may come back after a failure of a
	// back end.
	DefaultBackendRetry = time.Second
	// DefaultEjection is how long an outlier is ejected the first time.
	DefaultEjection = time.Second
	// DefaultEjectedPercent is the largest percentage of a destination's back ends
	// that may be ejected.
	DefaultEjectedPercent = 50
	// DefaultHeapGrowthPercent is the growth of the heap until garbage is collected,
	// the default of the Go runtime.
	DefaultHeapGrowthPercent = 100
	// DefaultLogRing is the number of log entries kept in memory.
	DefaultLogRing = 4096
	// DefaultDeployment is the name of a deployment that needs none.
	DefaultDeployment = "default"
	// DefaultLogLevel is the lowest level that enters the log ring.
	DefaultLogLevel = "info"
)

// Bounds of the settings.
const (
	// MaxSeeds bounds the addresses of other nodes in the settings.
	MaxSeeds = 3
	// MaxGroup bounds the nodes that may replicate control state.
	MaxGroup = 15
	// MaxServiceShards bounds the shards of service state.
	MaxServiceShards = 1024
	// MinContact leaves time for several heartbeats and an election.
	MinContact = 2 * time.Second
	// MaxContact bounds how long a node that no longer responds counts as in contact.
	MaxContact = time.Minute
	// MinAcknowledge leaves time for an election.
	MinAcknowledge = time.Second
	// MaxAcknowledge bounds the wait for an acknowledgement.
	MaxAcknowledge = time.Minute
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
