// Package units converts between durations and the plain numbers in which costs and
// speeds are computed.
package units

import "time"

// Factors between units of data.
const (
	BitsPerByte      = 8
	BytesPerKilobyte = 1e3
	BytesPerMegabyte = 1e6
)

// Milliseconds converts a duration to a number of milliseconds.
func Milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// FromMilliseconds is the inverse of Milliseconds.
func FromMilliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// FromSeconds converts a number of seconds to a duration.
func FromSeconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
