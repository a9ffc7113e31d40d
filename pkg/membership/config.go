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

// Never is the fence deadline of a node that can't be fenced.
const Never = time.Duration(math.MaxInt64)

// minHeartbeatsPerFence is the least number of heartbeat intervals in FenceAfter, so that
// one heartbeat may be lost before other monitors are tried, and enough time remains to
// replace the monitor set.
const minHeartbeatsPerFence = 4

// Config contains the settings of a Machine. Fields that are zero get the defaults.
type Config struct {
	// Self describes this node. Self.Incarnation must differ from that of every
	// earlier process under the same ID, and should be greater.
	Self member.Info
	// Seeds are internal addresses, host and port, of nodes to join through.
	Seeds []string
	// MonitorCount is how many monitors a member chooses. It chooses fewer if there
	// are too few other members.
	MonitorCount int
	// HeartbeatEvery is the time between two heartbeats. It is reduced to a quarter of
	// FenceAfter if it is longer.
	HeartbeatEvery time.Duration
	// FenceAfter is how long a member may serve after it sent the newest
	// heartbeat that enough of its monitors acknowledged.
	FenceAfter time.Duration
	// FenceMargin is how much longer than FenceAfter a monitor waits before it
	// reports a member. The clocks of two nodes may differ in rate by less than
	// FenceMargin/FenceAfter.
	FenceMargin time.Duration
	// ForgetAfter is how long the table keeps the records of members that left or are
	// certainly fenced.
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

// stabilizationWait is how long no member must have been added for the table to count as
// stable.
func (c Config) stabilizationWait() time.Duration {
	return c.HeartbeatEvery / 2
}

// startupWindow is how long after its own start a node expects other nodes to start. It is
// half of the longest time for which a node defers its reply to a joining node.
func (c Config) startupWindow() time.Duration {
	return 2 * c.HeartbeatEvery
}

// monitorChoiceTimeout is how long an incarnation without monitors waits for the table
// to become stable.
func (c Config) monitorChoiceTimeout() time.Duration {
	return 2 * c.FenceAfter
}

// unresponsiveAfter is how long a node may leave heartbeats unanswered before other nodes
// are preferred as monitors. It leaves half of FenceAfter to replace the monitor set.
//
// It has two further uses: an incarnation without monitors waits this long for its chosen
// monitors to respond, and a node that gets no Tick for longer was paused, so that it
// restarts its timers.
func (c Config) unresponsiveAfter() time.Duration {
	return c.FenceAfter / 2
}

// monitorTimeout is how long a monitor receives no heartbeat of a member before it reports
// the member.
func (c Config) monitorTimeout() time.Duration {
	return c.FenceAfter + c.FenceMargin
}
