package membership

import (
	"math"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Defaults of Config.
const (
	DefaultMonitorCount   = 3
	DefaultHeartbeatEvery = 200 * time.Millisecond
	DefaultFenceAfter     = time.Second
	DefaultFenceMargin    = 200 * time.Millisecond
	DefaultForgetAfter    = time.Hour
)

// Never is the fence deadline of a member that nothing can fence.
const Never = time.Duration(math.MaxInt64)

const (
	// zoneFanOut is how many members of its own zone each holder of news passes it to.
	zoneFanOut = 3
	// crossZoneFanOut is how many members of other zones the one whose news it is passes it
	// to, and crossings about how many others do so for each zone.
	crossZoneFanOut = 2
	forwardsPerZone = 4
	// bulkUpdateThreshold is how many records of others may change at once for each change to be
	// passed on; more are left to exchanges.
	bulkUpdateThreshold = 16
	// minHeartbeatsPerFence heartbeats must fit into FenceAfter, so that one may
	// be lost before others are tried, and there is time to change to them.
	minHeartbeatsPerFence = 4
	// recordResendRounds is for how many rounds a peer may leave heartbeats
	// unanswered before they hold this node's row again.
	recordResendRounds = 2
	// roundsPerProbe is how many heartbeat rounds lie between two digests sent to
	// a member beyond the monitors, which heals splits.
	roundsPerProbe = 5
	// joinTimeoutFences is for how many FenceAfter periods a starting node
	// waits for some seed before it takes itself to be alone.
	joinTimeoutFences = 3
)

// Config sets up a Machine. Zero values take the defaults.
type Config struct {
	// Self describes this node. Self.Incarnation must differ from that of every
	// earlier process under the same ID, and should be greater.
	Self member.Info
	// Seeds are internal addresses of nodes to join through.
	Seeds []string
	// MonitorCount is how many monitors a member chooses, when there are
	// enough members.
	MonitorCount int
	// HeartbeatEvery is the time between two heartbeats; a quarter of FenceAfter
	// at most.
	HeartbeatEvery time.Duration
	// FenceAfter is how long a member may serve after it sent the newest
	// heartbeat that enough monitors acknowledged.
	FenceAfter time.Duration
	// FenceMargin is how much longer a monitor waits before it reports a
	// silence. Clocks may differ in rate by FenceMargin/FenceAfter.
	FenceMargin time.Duration
	// ForgetAfter is how long the table keeps members that left or are fenced.
	ForgetAfter time.Duration
}

func (c Config) withDefaults() Config {
	if c.MonitorCount <= 0 {
		c.MonitorCount = DefaultMonitorCount
	}
	c.HeartbeatEvery = defaultDuration(c.HeartbeatEvery, DefaultHeartbeatEvery)
	c.FenceAfter = defaultDuration(c.FenceAfter, DefaultFenceAfter)
	c.FenceMargin = defaultDuration(c.FenceMargin, DefaultFenceMargin)
	c.ForgetAfter = defaultDuration(c.ForgetAfter, DefaultForgetAfter)
	c.HeartbeatEvery = min(c.HeartbeatEvery, c.FenceAfter/minHeartbeatsPerFence)
	return c
}

func defaultDuration(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}

// stabilizationWait is how long the table must be without a new member before the node
// chooses monitors by it.
func (c Config) stabilizationWait() time.Duration {
	return c.HeartbeatEvery / 2
}

// startupWindow is how long after its own start a node expects others to start, and half
// of the longest time for which it keeps them waiting for its table.
func (c Config) startupWindow() time.Duration {
	return 2 * c.HeartbeatEvery
}

// monitorChoiceTimeout is how long a life without monitors waits for the table to settle.
func (c Config) monitorChoiceTimeout() time.Duration {
	return 2 * c.FenceAfter
}

// unresponsiveAfter is how long a node may leave heartbeats unanswered before
// others are preferred as monitors. It leaves half of FenceAfter to change.
func (c Config) unresponsiveAfter() time.Duration {
	return c.FenceAfter / 2
}

// monitorTimeout is how long a monitor hears nothing before it reports.
func (c Config) monitorTimeout() time.Duration {
	return c.FenceAfter + c.FenceMargin
}
