package kvrouter

import "time"

const (
	bitsPerByte      = 8
	bytesPerKilobyte = 1e3
	bytesPerMegabyte = 1e6
)

// milliseconds converts a duration to a number of milliseconds.
func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// fromMilliseconds is the inverse of milliseconds.
func fromMilliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// seconds converts a number of seconds to a duration.
func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
