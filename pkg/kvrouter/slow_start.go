package kvrouter

import (
	"math"
	"time"
)

// slowStart bounds the reservations of a replica that may have started lately, in the
// block cost model. It
// begins when the replica is first seen, again when it restarts, and again with each
// report that says that it is warming up, so that the bound starts to rise only when
// the replica has stopped saying so.
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
