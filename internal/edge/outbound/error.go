package outbound

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// The type of an attempt's error tells what is known about the request. An Error tells whether
// the request may have been sent. A RefusedError means that the request has not run and will
// not run. After a FailedResponseError or an InvalidResponseError the request may have run.

// Error reports that a request got no response.
type Error struct {
	// MayHaveBeenSent reports whether any byte of the request may have been sent. If it
	// is false, no byte was or will be sent.
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

// NotSent returns the error of a request that was not sent because of cause.
func NotSent(cause error) *Error {
	return &Error{cause: errors.WithStack(cause)}
}

// RefusedError reports that the back end rejected the request and guarantees not to run it.
type RefusedError struct {
	Status int
	// RetryAfter is zero if the back end gave no time to retry after.
	RetryAfter time.Duration
	Message    string
	// WrongTarget means that the back end is not the one that the request was meant for,
	// or has other weights: this node's information about the back end is out of date.
	WrongTarget bool
	// Instance is the incarnation of the back end that responded, or empty if the response
	// does not name it.
	Instance string
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Message == "" {
		return fmt.Sprintf("the back end refused the request with status %d", e.Status)
	}
	return fmt.Sprintf("the back end refused the request with status %d: %s", e.Status, e.Message)
}

// FailedResponseError reports that a back end responded with a failure that leaves open
// whether the request has run.
type FailedResponseError struct {
	Status int
}

// Error implements error.
func (e *FailedResponseError) Error() string {
	return fmt.Sprintf("the back end failed with status %d", e.Status)
}

// InvalidKind classifies the responses that must not be relayed.
type InvalidKind string

// The kinds of invalid responses.
const (
	// Truncated is a response that ended early.
	Truncated InvalidKind = "truncated"
	// TooLarge is a response, or an event of a stream, that is larger than this node accepts.
	TooLarge InvalidKind = "too_large"
	// Undelimited is a response without a marked end, so that truncation would go unnoticed.
	Undelimited InvalidKind = "undelimited"
	// Foreign is a response that belongs to another request or attempt.
	Foreign InvalidKind = "foreign"
	// Surplus is a response that goes on after its end.
	Surplus InvalidKind = "surplus"
	// Malformed is a response in another form than the protocol's.
	Malformed InvalidKind = "malformed"
)

// InvalidResponseError reports a response that must not be relayed. The request may have run.
type InvalidResponseError struct {
	Kind InvalidKind
	// Reason holds nothing that the back end sent, so that it can be logged.
	Reason string
	// Cause is the error of reading the response; it may be nil, and it may quote the response.
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

// RetryAfter returns the time from a Retry-After header in whole seconds, or 0 if the header
// is missing or has another form.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseUint(strings.TrimSpace(header.Get("Retry-After")), 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
