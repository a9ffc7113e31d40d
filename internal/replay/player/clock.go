package player

import (
	"context"
	"time"
)

// Clock is the time of a replay, from its beginning.
type Clock interface {
	// Now returns the time since the replay began.
	Now() time.Duration
	// WaitUntil returns at a time, or with the context's error if it ends before.
	WaitUntil(ctx context.Context, at time.Duration) error
}

// wallClock is the machine's clock.
type wallClock struct {
	began time.Time
}

// NewWallClock returns a clock that begins now.
func NewWallClock() Clock { return wallClock{began: time.Now()} }

// Now implements Clock.
func (c wallClock) Now() time.Duration { return time.Since(c.began) }

// WaitUntil implements Clock.
func (c wallClock) WaitUntil(ctx context.Context, at time.Duration) error {
	timer := time.NewTimer(at - c.Now())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
