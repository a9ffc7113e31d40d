package kvrouter

import (
	"fmt"
	"time"
)

// Reason states why no replica was selected.
type Reason string

// The reasons of a NoReplicaError.
const (
	// NoCandidates means that the list of candidates was empty.
	NoCandidates Reason = "none_listed"
	// AllExcluded means that Request.Exclude excluded every candidate.
	AllExcluded Reason = "all_excluded"
	// AllBusy means that each candidate that was not excluded has reached the busy
	// threshold or the limit of its slow start, or is full for longer than the request may
	// wait.
	AllBusy Reason = "all_busy"
)

// NoReplicaError is returned by Router.Select if no replica can take the request.
type NoReplicaError struct {
	Reason Reason
	// RetryAfter is the time after which a new attempt may succeed.
	RetryAfter time.Duration
}

// Error returns the reason and the remedy.
func (e *NoReplicaError) Error() string {
	switch e.Reason {
	case AllExcluded:
		return fmt.Sprintf("the request failed on every admitting replica of the pool; send it again after %v", e.RetryAfter)
	case AllBusy:
		return fmt.Sprintf("every admitting replica of the pool is busy; send the request again after %v, or add replicas", e.RetryAfter)
	}
	return fmt.Sprintf("no replica of the pool admits requests; send the request again after %v, or check the platform's list and the evacuated zones", e.RetryAfter)
}
