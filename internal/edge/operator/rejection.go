package operator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// The kinds of problems that the control interface adds to those of package
// dynamic.
const (
	// KindUnavailable marks a call that the node can't serve now.
	KindUnavailable dynamic.Kind = "unavailable"
	// KindOverloaded marks a call whose body the node has no memory for now.
	KindOverloaded dynamic.Kind = "overloaded"
	// KindNoLeader marks a call for a shard that has no leader now.
	KindNoLeader dynamic.Kind = "no_leader"
	// KindNoSuchCall marks a request for an unknown path.
	KindNoSuchCall dynamic.Kind = "no_such_call"
	// KindMethodNotAllowed marks a request for a known path with a method that it does not
	// support.
	KindMethodNotAllowed dynamic.Kind = "method_not_allowed"
	// KindNotReady and KindNotLive are the kinds of failed health checks.
	KindNotReady dynamic.Kind = "not_ready"
	KindNotLive  dynamic.Kind = "not_live"
	// KindInternal marks a fault of the node itself.
	KindInternal dynamic.Kind = "internal"
)

// DefaultRetryAfter is the time after which to retry a call after a 503 that gives no other time,
// and after which to resend a pending order.
const DefaultRetryAfter = time.Second

// UnavailableError means that a call was not accepted. It may be retried.
type UnavailableError struct {
	Kind       dynamic.Kind
	Message    string
	RetryAfter time.Duration
}

// Error implements error. The message includes the remedy.
func (e *UnavailableError) Error() string {
	return e.Message
}

// Problem returns the error as a response body for operators.
func (e *UnavailableError) Problem() *ridgeswitchv1.Problem {
	return &ridgeswitchv1.Problem{Kind: string(e.Kind), Message: e.Message}
}

// problemCarrier is an error that has a response body for operators.
type problemCarrier interface {
	error
	Problem() *ridgeswitchv1.Problem
}

// statusByKind maps each kind of problem to its HTTP status.
var statusByKind = map[dynamic.Kind]int{
	dynamic.KindMalformed:             http.StatusBadRequest,
	dynamic.KindUnknownField:          http.StatusBadRequest,
	dynamic.KindMissing:               http.StatusBadRequest,
	dynamic.KindInvalid:               http.StatusBadRequest,
	dynamic.KindOutOfRange:            http.StatusBadRequest,
	dynamic.KindDuplicate:             http.StatusBadRequest,
	dynamic.KindDanglingReference:     http.StatusBadRequest,
	dynamic.KindOrderIDMissing:        http.StatusBadRequest,
	dynamic.KindOversize:              http.StatusRequestEntityTooLarge,
	dynamic.KindNotFound:              http.StatusNotFound,
	dynamic.KindOrderIDConflict:       http.StatusConflict,
	dynamic.KindBaseRevisionStale:     http.StatusConflict,
	dynamic.KindSourceVersionNotAbove: http.StatusConflict,
	dynamic.KindEvacuationChanged:     http.StatusConflict,
	KindNoSuchCall:                    http.StatusNotFound,
	KindMethodNotAllowed:              http.StatusMethodNotAllowed,
	KindUnavailable:                   http.StatusServiceUnavailable,
	KindOverloaded:                    http.StatusServiceUnavailable,
	KindNoLeader:                      http.StatusServiceUnavailable,
	KindNotReady:                      http.StatusServiceUnavailable,
	KindNotLive:                       http.StatusServiceUnavailable,
	KindInternal:                      http.StatusInternalServerError,
}

// rejection is a problem with its HTTP status and its Retry-After, or zero for none.
type rejection struct {
	status     int
	retryAfter time.Duration
	problem    *ridgeswitchv1.Problem
}

// rejectionOf returns the rejection for an error. An error without a Problem method leaves open
// whether the call took effect, so its message tells the operator to resend the identical call.
func rejectionOf(err error) rejection {
	var carrier problemCarrier
	if !errors.As(err, &carrier) {
		carrier = &UnavailableError{Kind: KindUnavailable, Message: outcomeUnknown(err)}
	}
	rejected := rejectionFor(carrier.Problem())
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) && unavailable.RetryAfter > 0 {
		rejected.retryAfter = unavailable.RetryAfter
	}
	return rejected
}

func outcomeUnknown(err error) string {
	return fmt.Sprintf("%v; the call may have taken effect: resend it unchanged, to any node", err)
}

// rejectionFor returns the rejection for a problem. A kind without an entry in statusByKind gets
// status 500: it comes from a newer part of the node and is not the caller's fault.
func rejectionFor(problem *ridgeswitchv1.Problem) rejection {
	status, known := statusByKind[dynamic.Kind(problem.GetKind())]
	if !known {
		status = http.StatusInternalServerError
	}
	rejected := rejection{status: status, problem: problem}
	if status == http.StatusServiceUnavailable {
		rejected.retryAfter = DefaultRetryAfter
	}
	return rejected
}

// isTimeout reports whether a call ended because its deadline passed.
func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded)
}
