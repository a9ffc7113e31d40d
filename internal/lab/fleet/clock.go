package fleet

import "time"

// Clock gives the time since a run began. All processes of a fleet share the
// machine's clock, so that their records can be put in one order.
type Clock struct {
	start time.Time
}

// NewClock starts a run.
func NewClock() *Clock {
	return &Clock{start: time.Now()}
}

// Now returns the time since the run began.
func (clock *Clock) Now() time.Duration { return time.Since(clock.start) }

// At turns a moment into the time since the run began.
func (clock *Clock) At(moment time.Time) time.Duration { return moment.Sub(clock.start) }

// Start returns the moment at which the run began.
func (clock *Clock) Start() time.Time { return clock.start }
