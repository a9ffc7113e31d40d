// Package pause waits in real time, for the parts of the lab that drive real
// processes.
package pause

import (
	"context"
	"time"
)

// For waits for a duration, or less when the context ends. It reports whether the
// context goes on. A duration that is not positive waits for nothing.
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
