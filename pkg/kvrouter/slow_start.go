package kvrouter

import (
	"math"
	"time"
)

// slowStart limits the reservations of a replica that may have started recently, in the block
// cost model. It begins when the replica is first seen, and again at each restart and at each
// report with Warming set, so that the limit starts to rise only when the replica no longer
// reports that it is warming up.
type slowStart struct {
	since time.Duration
}

// limit returns how many reservations the replica may have at once.
func (s slowStart) limit(now time.Duration, options *Options) int {
	elapsed := max(0, now-s.since)
	if elapsed >= options.SlowStartDuration {
		return math.MaxInt
	}
	return options.SlowStartInitial + int(elapsed.Seconds()*options.SlowStartPerSecond)
}
