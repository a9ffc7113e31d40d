package outbound

import (
	"fmt"
	"time"
)

// RefusedError is a rejection: the back end guarantees not to run the request.
type RefusedError struct {
	Status int
	// RetryAfter is zero if the back end named no time.
	RetryAfter time.Duration
	Message    string
	// WrongTarget means that the back end is not the one that the request was
	// for, or has other weights: what this node knows of it is out of date.
	WrongTarget bool
	// Instance is the incarnation that responded, if the response names it.
	Instance string
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Message == "" {
		return fmt.Sprintf("the back end refused the request with status %d", e.Status)
	}
	return fmt.Sprintf("the back end refused the request with status %d: %s", e.Status, e.Message)
}

// FailedResponseError says that a back end responded with a failure that does not
// report whether the request has run.
type FailedResponseError struct {
	Status int
}

// Error implements error.
func (e *FailedResponseError) Error() string {
	return fmt.Sprintf("the back end failed with status %d", e.Status)
}
