package static

import "time"

// Defaults of optional settings.
const (
	// DefaultServiceShards is the number of shards of service state. It must be
	// the same on every node of a deployment.
	DefaultServiceShards = 16
	// DefaultSeededServiceShards replaces DefaultServiceShards in a deployment whose nodes
	// with disks discover each other through seeds.
	DefaultSeededServiceShards = 1
	// DefaultContactTimeout is how long an unresponsive node counts as in contact.
	DefaultContactTimeout = 3 * time.Second
	// DefaultAcknowledgeTimeout bounds the wait for the acknowledgement of an operator's
	// order.
	DefaultAcknowledgeTimeout = 4 * time.Second
	// DefaultTickEvery is the interval between ticks of the control machine.
	DefaultTickEvery = 20 * time.Millisecond
	// DefaultDrainTimeout bounds the time to finish requests after SIGTERM.
	DefaultDrainTimeout = 20 * time.Second
	// DefaultHeartbeatEvery is the interval of heartbeats between nodes.
	DefaultHeartbeatEvery = 100 * time.Millisecond
	// DefaultPlatformPollEvery is the interval between reads of the platform's list of
	// back ends.
	DefaultPlatformPollEvery = time.Second
	// DefaultCommandGap is the minimum time between the commands of two nodes to the same
	// replica.
	DefaultCommandGap = 3 * time.Second
	// DefaultRetryPercent is the percentage of requests that may be retried.
	DefaultRetryPercent = 20
	// DefaultRetryWindow is the length of the window of the retry budget.
	DefaultRetryWindow = 10 * time.Second
	// DefaultBackendRetry is the time after which callers may retry after a failure of a
	// back end.
	DefaultBackendRetry = time.Second
	// DefaultEjection is how long an outlier is ejected the first time.
	DefaultEjection = time.Second
	// DefaultEjectedPercent is the largest percentage of a destination's back ends
	// that may be ejected.
	DefaultEjectedPercent = 50
	// DefaultHeapGrowthPercent is the growth of the heap until the next garbage
	// collection, the default of the Go runtime.
	DefaultHeapGrowthPercent = 100
	// DefaultLogRing is the number of log entries kept in memory.
	DefaultLogRing = 4096
	// DefaultDeployment is the name of a deployment whose settings name none.
	DefaultDeployment = "default"
	// DefaultLogLevel is the lowest level of entries in the log ring.
	DefaultLogLevel = "info"
)

// FillDefaults replaces the zero values of settings that have a default. Load, Parse and
// FromCommand call it; settings from any other source need a call.
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

// setDefault replaces a zero value by the default.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
