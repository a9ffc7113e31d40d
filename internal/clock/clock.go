// Package clock reads the clock of control decisions: leases, time-outs and heartbeats
// need one that never jumps and that counts the time for which a machine was suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started, counting the time for
// which it was suspended, and never jumping with the wall clock. A process that
// was frozen therefore sees, on its first reading, how long it was away.
func SinceBoot() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		// The clock exists on every supported kernel, so that an error here is
		// a broken build and no state to go on from.
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(reading.Nano())
}
