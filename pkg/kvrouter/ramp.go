package kvrouter

import (
	"math"
	"time"
)

// ramp bounds the reservations of a replica that may be cold and fragile. It
// begins when the replica is first seen, again when it restarts, and again
// with each report that says warming, so that the bound starts to rise only
// when the replica has stopped saying so.
type ramp struct {
	since time.Duration
}

// limit returns how many reservations the replica may have.
func (r ramp) limit(now time.Duration, options *Options) int {
	elapsed := max(0, now-r.since)
	if elapsed >= options.RampDuration {
		return math.MaxInt
	}
	return options.RampStart + int(elapsed.Seconds()*options.RampPerSecond)
}
