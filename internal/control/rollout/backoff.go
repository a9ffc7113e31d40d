package rollout

import "time"

// maxDoublings bounds how often a pause doubles.
const maxDoublings = 8

// backoff returns the pause after another failure: first, doubled for each earlier failure,
// up to limit.
func backoff(first time.Duration, failures int, limit time.Duration) time.Duration {
	return min(first<<min(failures, maxDoublings), limit)
}
