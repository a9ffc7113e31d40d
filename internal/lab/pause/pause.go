// Package pause waits in real time, for the lab packages that run real processes.
package pause

import (
	"context"
	"time"
)

// For waits for a duration, or until the context ends. It reports whether the context
// has not ended. If the duration is not positive, For returns at once.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
