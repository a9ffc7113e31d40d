package kvrouter

import (
	"fmt"
	"time"
)

// Reason is why no replica was chosen.
type Reason string

// The reasons of a NoReplicaError.
const (
	// NoCandidates means that there were no candidates at all.
	NoCandidates Reason = "none_listed"
	// AllExcluded means that the request must not go to any candidate.
	AllExcluded Reason = "all_excluded"
	// AllBusy means that the allowed candidates are over the busy threshold, at the
	// limit of their slow start, or full for longer than the request may wait.
	AllBusy Reason = "all_busy"
)

// NoReplicaError is returned when no replica can take a request.
type NoReplicaError struct {
	Reason Reason
	// RetryAfter is when a new attempt may succeed.
	RetryAfter time.Duration
}

// Error returns the cause and what to do about it.
func (e *NoReplicaError) Error() string {
	switch e.Reason {
	case AllExcluded:
		return fmt.Sprintf("the request failed on every admitting replica of the pool; send it again after %v", e.RetryAfter)
	case AllBusy:
		return fmt.Sprintf("every admitting replica of the pool is busy; send the request again after %v, or add replicas", e.RetryAfter)
	}
	return fmt.Sprintf("no replica of the pool admits requests; send the request again after %v, or check the platform's list and the evacuated zones", e.RetryAfter)
}
