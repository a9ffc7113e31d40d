package fleet

import "time"

// Clock measures the time since the start of a run. All processes of a fleet use the
// clock of the same machine, so their records can be ordered by time.
type Clock struct {
	start time.Time
}

// NewClock returns a clock for a run that begins now.
func NewClock() *Clock {
	return &Clock{start: time.Now()}
}

// Now returns the time since the run began.
func (clock *Clock) Now() time.Duration { return time.Since(clock.start) }

// At converts a moment to the time since the run began.
func (clock *Clock) At(moment time.Time) time.Duration { return moment.Sub(clock.start) }

// Start returns the moment at which the run began.
func (clock *Clock) Start() time.Time { return clock.start }
