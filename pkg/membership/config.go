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

// The reach of gossip; see gossip.receivers.
const (
	// zoneFanOut is how many members of its own zone a node passes an update to.
	zoneFanOut = 3
	// crossZoneFanOut is how many members of other zones the source of an update
	// sends it to. It also bounds how many any other node passes it on to.
	crossZoneFanOut = 2
	// forwardsPerZone times the number of zones is about how often an update is passed on
	// to another zone by all the nodes together that aren't its source.
	forwardsPerZone = 4
	// bulkUpdateThreshold is how many records may change within HeartbeatEvery before
	// the changes are left to anti-entropy.
	bulkUpdateThreshold = 16
)

const (
	// minHeartbeatsPerFence heartbeats must fit into FenceAfter, so that one may be
	// lost before other monitors are tried, and there is time to replace the set.
	minHeartbeatsPerFence = 4
	// recordResendRounds is for how many heartbeat rounds a peer may leave heartbeats
	// unanswered before they contain this node's record again.
	recordResendRounds = 2
	// roundsPerProbe is the number of heartbeat rounds from one probe to the next.
	roundsPerProbe = 5
	// joinTimeoutFences is for how many FenceAfter periods a starting node waits for
	// some seed before it considers itself alone.
	joinTimeoutFences = 3
)

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
// are preferred as monitors. It leaves half of FenceAfter to replace the set.
func (c Config) unresponsiveAfter() time.Duration {
	return c.FenceAfter / 2
}

// monitorTimeout is how long a monitor receives no heartbeat before it reports.
func (c Config) monitorTimeout() time.Duration {
	return c.FenceAfter + c.FenceMargin
}
