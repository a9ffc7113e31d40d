package standin

import (
	"context"
	"time"
)

// Clock turns elapsed real time into the model's time, which may run faster.
type Clock struct {
	start time.Time
	scale float64
}

// NewClock starts a clock that runs scale times as fast as real time.
func NewClock(scale float64) Clock {
	return Clock{start: time.Now(), scale: scale}
}

// Now returns the model's time since the start.
func (c Clock) Now() time.Duration {
	return time.Duration(float64(time.Since(c.start)) * c.scale)
}

// Real returns the real length of a span of the model's time.
func (c Clock) Real(span time.Duration) time.Duration {
	return time.Duration(float64(span) / c.scale)
}

// UnixNano returns the wall time of a point in the model's time: the wall time
// at the start plus what has elapsed since, so that a jump of the wall clock
// does not reorder a log.
func (c Clock) UnixNano(at time.Duration) int64 {
	return c.start.UnixNano() + int64(c.Real(at))
}

// Wait returns after a real span of time, or with an error when the context ends
// first.
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
