package static

import "time"

// Defaults of the settings that a file may leave out.
const (
	// DefaultServiceShards is the number of shards of service state. It must be
	// the same on every node of a deployment.
	DefaultServiceShards = 16
	// DefaultSeededServiceShards is DefaultServiceShards where nodes with disks
	// find each other through seeds.
	DefaultSeededServiceShards = 1
	// DefaultContactTimeout is how long a node that no longer responds counts as in contact.
	DefaultContactTimeout = 3 * time.Second
	// DefaultAcknowledgeTimeout bounds the wait for the acknowledgement of an order.
	DefaultAcknowledgeTimeout = 4 * time.Second
	// DefaultTickEvery is the interval of the control machine's ticks.
	DefaultTickEvery = 20 * time.Millisecond
	// DefaultDrainTimeout bounds the time to finish requests after SIGTERM.
	DefaultDrainTimeout = 20 * time.Second
	// DefaultHeartbeatEvery is the interval of heartbeats between nodes.
	DefaultHeartbeatEvery = 100 * time.Millisecond
	// DefaultPlatformPollEvery is the interval between reads of the platform's list of
	// back ends.
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

// FillDefaults sets the settings that have a default and are zero. Load, Parse and
// FromCommand do so; it is for settings that come from elsewhere.
func (s *Settings) FillDefaults() {
	setDefault(&s.PlatformPollEveryMS, int(DefaultPlatformPollEvery.Milliseconds()))
	setDefault(&s.CommandGapMS, int(DefaultCommandGap.Milliseconds()))
	if s.Seeded() {
		setDefault(&s.ServiceShards, DefaultSeededServiceShards)
	}
	setDefault(&s.ServiceShards, DefaultServiceShards)
	setDefault(&s.ContactMS, int(DefaultContactTimeout.Milliseconds()))
	setDefault(&s.AcknowledgeMS, int(DefaultAcknowledgeTimeout.Milliseconds()))
	setDefault(&s.TickEveryMS, int(DefaultTickEvery.Milliseconds()))
	setDefault(&s.HeartbeatEveryMS, int(DefaultHeartbeatEvery.Milliseconds()))
	setDefault(&s.RetryPercent, DefaultRetryPercent)
	setDefault(&s.RetryWindowMS, int(DefaultRetryWindow.Milliseconds()))
	setDefault(&s.BackendRetryMS, int(DefaultBackendRetry.Milliseconds()))
	setDefault(&s.EjectionMS, int(DefaultEjection.Milliseconds()))
	setDefault(&s.EjectedPercent, DefaultEjectedPercent)
	setDefault(&s.DrainTimeoutMS, int(DefaultDrainTimeout.Milliseconds()))
	setDefault(&s.HeapGrowthPercent, DefaultHeapGrowthPercent)
	setDefault(&s.LogRing, DefaultLogRing)
	setDefault(&s.LogLevel, DefaultLogLevel)
	setDefault(&s.Deployment, DefaultDeployment)
}

// setDefault replaces a zero value.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
