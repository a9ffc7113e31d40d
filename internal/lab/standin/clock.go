package standin

import (
	"context"
	"time"
)

// Clock converts elapsed real time to model time, which may run faster.
type Clock struct {
	start time.Time
	scale float64
}

// NewClock starts a clock that runs scale times as fast as real time.
func NewClock(scale float64) Clock {
	return Clock{start: time.Now(), scale: scale}
}

// Now returns the model time since the clock was started.
func (c Clock) Now() time.Duration {
	return time.Duration(float64(time.Since(c.start)) * c.scale)
}

// Real converts a span of model time to real time.
func (c Clock) Real(span time.Duration) time.Duration {
	return time.Duration(float64(span) / c.scale)
}

// UnixNano returns the wall-clock time of a point in model time, in Unix
// nanoseconds. It adds the elapsed time to the wall-clock time at the start, so
// that a jump of the wall clock does not reorder a log.
func (c Clock) UnixNano(at time.Duration) int64 {
	return c.start.UnixNano() + int64(c.Real(at))
}

// Wait waits for a span of real time. It returns the context's error if the
// context ends first.
func Wait(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
