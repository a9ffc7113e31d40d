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

// minHeartbeatsPerFence heartbeats must fit into FenceAfter, so that one may be lost before
// other monitors are tried, and there is time to replace the set.
const minHeartbeatsPerFence = 4

// Config sets up a Machine. Zero values take the defaults.
type Config struct {
	// Self describes this node. Self.Incarnation must differ from that of every
	// earlier process under the same ID, and should be greater.
	Self member.Info
	// Seeds are internal addresses, host and port, of nodes to join through.
	Seeds []string
	// MonitorCount is how many monitors a member chooses, if there are enough
	// members.
	MonitorCount int
	// HeartbeatEvery is the time between two heartbeats; a quarter of FenceAfter
	// at most.
	HeartbeatEvery time.Duration
	// FenceAfter is how long a member may serve after it sent the newest
	// heartbeat that enough monitors acknowledged.
	FenceAfter time.Duration
	// FenceMargin is how much longer than FenceAfter a monitor waits before it
	// reports a member. Clocks may differ in rate by FenceMargin/FenceAfter.
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

// stabilizationWait is how long the table must be without a new member to count as
// stable.
func (c Config) stabilizationWait() time.Duration {
	return c.HeartbeatEvery / 2
}

// startupWindow is how long after its own start a node expects others to start. It is
// half of the longest time for which a node defers its reply to a joining one.
func (c Config) startupWindow() time.Duration {
	return 2 * c.HeartbeatEvery
}

// monitorChoiceTimeout is how long an incarnation without monitors waits for the table
// to become stable.
func (c Config) monitorChoiceTimeout() time.Duration {
	return 2 * c.FenceAfter
}

// unresponsiveAfter is how long a node may leave heartbeats unanswered before others
// are preferred as monitors. It leaves half of FenceAfter to replace the set. For the same
// time an incarnation without monitors waits for those that it chose to respond, and a node
// that gets no Tick for longer counts itself as paused: what it timed meanwhile is void.
func (c Config) unresponsiveAfter() time.Duration {
	return c.FenceAfter / 2
}

// monitorTimeout is how long a monitor receives no heartbeat before it reports.
func (c Config) monitorTimeout() time.Duration {
	return c.FenceAfter + c.FenceMargin
}
