package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Kind is the name of a kind of error. It is part of the protocol and does not change.
type Kind string

// The kinds of errors that callers get. docs/CALLERS.md documents the remedy for each.
const (
	KindBadRequest          Kind = "bad_request"
	KindHeaderTooLarge      Kind = "header_too_large"
	KindBodyTooLarge        Kind = "body_too_large"
	KindNotServing          Kind = "not_serving"
	KindOverloaded          Kind = "overloaded"
	KindUnauthorized        Kind = "unauthorized"
	KindUnknownHost         Kind = "unknown_host"
	KindModelMismatch       Kind = "model_mismatch"
	KindDuplicateRequest    Kind = "duplicate_request"
	KindClaimUndecided      Kind = "claim_undecided"
	KindRateLimited         Kind = "rate_limited"
	KindQueueFull           Kind = "queue_full"
	KindQueueTimeout        Kind = "queue_timeout"
	KindDeadlineUnreachable Kind = "deadline_unreachable"
	KindNoBackend           Kind = "no_backend"
	KindBackendsBusy        Kind = "backends_busy"
	KindBackendRefused      Kind = "backend_refused"
	KindRetryBudgetSpent    Kind = "retry_budget_spent"
	KindDeadlineExceeded    Kind = "deadline_exceeded"
	KindOutcomeUnknown      Kind = "outcome_unknown"
	KindResponseTruncated   Kind = "answer_cut"
	KindInternal            Kind = "internal"
)

// statusByKind maps each kind to its HTTP status.
var statusByKind = map[Kind]int{
	KindBadRequest:          http.StatusBadRequest,
	KindHeaderTooLarge:      http.StatusRequestHeaderFieldsTooLarge,
	KindBodyTooLarge:        http.StatusRequestEntityTooLarge,
	KindNotServing:          http.StatusServiceUnavailable,
	KindOverloaded:          http.StatusServiceUnavailable,
	KindUnauthorized:        http.StatusUnauthorized,
	KindUnknownHost:         http.StatusNotFound,
	KindModelMismatch:       http.StatusBadRequest,
	KindDuplicateRequest:    http.StatusConflict,
	KindClaimUndecided:      http.StatusServiceUnavailable,
	KindRateLimited:         http.StatusTooManyRequests,
	KindQueueFull:           http.StatusTooManyRequests,
	KindQueueTimeout:        http.StatusServiceUnavailable,
	KindDeadlineUnreachable: http.StatusServiceUnavailable,
	KindNoBackend:           http.StatusServiceUnavailable,
	KindBackendsBusy:        http.StatusServiceUnavailable,
	KindBackendRefused:      http.StatusServiceUnavailable,
	KindRetryBudgetSpent:    http.StatusServiceUnavailable,
	KindDeadlineExceeded:    http.StatusGatewayTimeout,
	KindOutcomeUnknown:      http.StatusBadGateway,
	KindResponseTruncated:   http.StatusBadGateway,
	KindInternal:            http.StatusInternalServerError,
}

// Error is an error as callers get it.
type Error struct {
	Kind Kind `json:"kind"`
	// Message describes the error and its remedy.
	Message string `json:"message"`
	// MayHaveRun is false only if it is certain that the request has not run and will
	// not run.
	MayHaveRun bool `json:"may_have_run"`
	// RequestID is the ID of the request.
	RequestID string `json:"request_id"`
	// RetryIsSafe means that the same request may be sent again although an earlier
	// submission of it may have run.
	RetryIsSafe bool `json:"-"`
	// RetryAfter is the time after which a retry may succeed, or zero to send no Retry-After
	// header.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Kind, e.Message)
}

// NewError returns the error of a request that has not run.
func NewError(kind Kind, format string, arguments ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, arguments...)}
}

// WithRetryAfter sets the time to retry after, and returns the error.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	e.RetryAfter = wait
	return e
}

// Status returns the HTTP status of the error.
func (e *Error) Status() int {
	if status, known := statusByKind[e.Kind]; known {
		return status
	}
	return http.StatusInternalServerError
}

// retryAfterSeconds returns a wait as the value of Retry-After: whole seconds, rounded up, and
// at least 1.
func retryAfterSeconds(wait time.Duration) string {
	seconds := int64((wait + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(seconds, 1), 10)
}

// WriteError responds to a request with an error.
func WriteError(writer http.ResponseWriter, problem *Error) {
	body, err := json.Marshal(problem)
	if err != nil {
		http.Error(writer, problem.Error(), problem.Status())
		return
	}
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if problem.RequestID != "" {
		header.Set(HeaderRequestID, problem.RequestID)
	}
	if problem.RetryAfter > 0 {
		header.Set(HeaderRetryAfter, retryAfterSeconds(problem.RetryAfter))
	}
	if problem.Kind == KindUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	writer.WriteHeader(problem.Status())
	_, _ = writer.Write(body)
}

// ErrorEvent returns the server-sent event that reports the error of a truncated stream and ends
// it.
func ErrorEvent(problem *Error) []byte {
	body, err := json.Marshal(problem)
	if err != nil {
		body = []byte("{}")
	}
	return []byte("event: error\ndata: " + string(body) + "\n\n")
}
