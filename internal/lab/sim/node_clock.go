package sim

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Bounds of the clocks.
const (
	// maxClockRate bounds how much faster or slower than true time the clock of
	// a node runs.
	maxClockRate = 0.005
	// maxUptime is the largest reading of a clock at the start of a run.
	maxUptime = 1000 * time.Second
	// wallEpoch is the wall time in milliseconds at the start of a run.
	wallEpoch = 1_700_000_000_000
)

// nodeClock counts the time since the machine was switched on, and has a wall
// clock that may be wrong.
type nodeClock struct {
	env  *environment
	base time.Duration
	// rate is the clock's error: seconds gained for each second.
	rate       float64
	wallOffset time.Duration
	// stoppedFor is how long the clock stood still.
	stoppedFor time.Duration
}

func newNodeClock(env *environment) nodeClock {
	return nodeClock{
		env:  env,
		base: env.planned(maxUptime),
		rate: maxClockRate * (2*env.plan.Float64() - 1),
	}
}

// read returns the time since the machine was switched on.
func (c *nodeClock) read() time.Duration {
	elapsed := time.Duration(float64(c.env.now) * (1 + c.rate))
	return c.base + elapsed - c.stoppedFor
}

// restart sets the clock to that of another machine, which was switched on a
// random time ago.
func (c *nodeClock) restart() {
	c.base = time.Second + c.env.upTo(maxUptime) - c.env.now
}

// incarnation returns the wall clock's time in milliseconds, as the daemon does.
func (c *nodeClock) incarnation() member.Incarnation {
	wall := c.env.now + c.wallOffset
	return member.Incarnation(wallEpoch + wall.Milliseconds())
}
