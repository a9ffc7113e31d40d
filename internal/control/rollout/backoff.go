package rollout

import "time"

// maxDoublings bounds how often a pause doubles.
const maxDoublings = 8

// backoff returns the pause after a number of failures: it doubles with each, up to a
// limit.
func backoff(first time.Duration, failures int, limit time.Duration) time.Duration {
	return min(first<<min(failures, maxDoublings), limit)
}
