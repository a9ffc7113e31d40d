package outbound

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// The errors of an attempt say what is known of the request: with an Error, whether it was
// sent; with a RefusedError, that it has not run and will not run; with a
// FailedResponseError or an InvalidResponseError, that it may have run.

// Error says that a request got no response.
type Error struct {
	// MayHaveBeenSent reports whether any byte of the request may have left. If it
	// is false none has left, and none will.
	MayHaveBeenSent bool
	cause           error
}

// Error implements error.
func (e *Error) Error() string {
	if e.MayHaveBeenSent {
		return fmt.Sprintf("no answer after the request was sent: %v", e.cause)
	}
	return fmt.Sprintf("the request was not sent: %v", e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// NotSent wraps the reason for which no attempt to send a request was made.
func NotSent(cause error) *Error {
	return &Error{cause: errors.WithStack(cause)}
}

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

// InvalidResponseError says that a response is truncated, that truncation could not be
// noticed, or that the response is not that of the attempt. The request may have
// run.
type InvalidResponseError struct {
	Reason string
	// Cause is what was seen of the connection; it may be nil.
	Cause error
}

// Error implements error.
func (e *InvalidResponseError) Error() string {
	if e.Cause == nil {
		return e.Reason
	}
	return e.Reason + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *InvalidResponseError) Unwrap() error {
	return e.Cause
}

// RetryAfter returns the time to retry after that a response names in whole seconds, or 0
// if it names none.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseUint(strings.TrimSpace(header.Get("Retry-After")), 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
