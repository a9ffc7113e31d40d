// Package clock reads the clock that control decisions use. Leases, time-outs and heartbeats
// need a clock that is not changed with the wall clock and that includes the time for which
// the machine was suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started, including the time for which the
// machine was suspended. Changes of the wall clock do not affect it. A process that was
// suspended therefore sees in its first reading how long it was suspended.
func SinceBoot() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		// Every supported kernel has this clock, so that an error means a broken
		// build, and the process cannot continue.
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(reading.Nano())
}
