package dispatch

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/deadline"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/pkg/attempts"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
)

// versionMismatchError reports a response that was produced by another weight version than
// the one that the cache salt of its request is for.
type versionMismatchError struct {
	expected, actual string
}

// Error implements error.
func (e *versionMismatchError) Error() string {
	return fmt.Sprintf("the answer was made by weight version %q instead of %q", e.actual, e.expected)
}

// recordFailure records the end of an attempt without a response: it was not sent, the back
// end has refused to run it, or its outcome is not known.
func (d *Dispatcher) recordFailure(r *pendingRequest, chosen target, attempt int, err error) {
	var sendError *outbound.Error
	if errors.As(err, &sendError) && !sendError.MayHaveBeenSent {
		r.lastError = d.recordUnsent(r, sendError)
		r.apply(attempts.Event{Kind: attempts.NotSent, Attempt: attempt})
		return
	}
	r.apply(attempts.Event{Kind: attempts.BytesMayHaveLeft, Attempt: attempt})
	if sendError == nil {
		// The back end has responded, with a refusal or with a response that must not be
		// relayed.
		d.options.Health.RecordResponse(chosen.address())
	}
	var refusal *outbound.RefusedError
	if errors.As(err, &refusal) {
		chosen.handleRefusal(refusal)
		if !refusal.WrongTarget && chosen.hasSpareCapacity() {
			r.health.Failed(d.options.Clock(), outlier.Refused)
		}
		r.lastError = refusedError(refusal, d.options.BackendRetry)
		r.apply(attempts.Event{Kind: attempts.Refused, Attempt: attempt})
		return
	}
	if sendError != nil && deadline.Passed(r.Context) {
		d.options.Health.RecordMissedDeadline(d.options.Clock(), chosen.address())
	}
	d.recordLoss(r, attempt, err)
}

// recordUnsent returns the error for an attempt that was not sent. It counts the failure
// against the back end, unless the cause is this node: its limit of connections, or its delay.
func (d *Dispatcher) recordUnsent(r *pendingRequest, unsent *outbound.Error) *caller.Error {
	wait := d.options.BackendRetry
	var atLimit *outbound.ConnectionLimitError
	if errors.As(unsent, &atLimit) {
		inbound.CloseStalledRelay(r.Request)
		return caller.NewError(caller.KindBackendsBusy,
			"the back end has as many connections as it may have: send the request again").WithRetryAfter(wait)
	}
	if errors.Is(unsent, outbound.ErrTooLate) {
		return caller.NewError(caller.KindNoBackend,
			"this node could not send the request in time: send it again").WithRetryAfter(wait)
	}
	d.countUnlessCancelled(r, outlier.Unreached)
	return caller.NewError(caller.KindNoBackend,
		"the back end could not be reached: send the request again").WithRetryAfter(wait)
}

// recordLoss records that an attempt may have been sent but got no complete and usable
// response, so that it is unknown whether the request has run.
func (d *Dispatcher) recordLoss(r *pendingRequest, attempt int, err error) {
	var failed *outbound.FailedResponseError
	var disconnected *callerDisconnectedError
	var mismatch *versionMismatchError
	var invalid *outbound.InvalidResponseError
	if errors.As(err, &invalid) && r.Context.Err() == nil && !r.withdrawn {
		d.recordInvalid(r, attempt, invalid)
	}
	switch {
	case errors.As(err, &disconnected):
		r.apply(attempts.Event{Kind: attempts.CallerDisconnected})
	case errors.As(err, &failed):
		// The back end has responded, so it is not suspected of being unreachable.
		d.countUnlessCancelled(r, outlier.Errored)
	case errors.As(err, &mismatch):
		// The view does not contain the new weight version yet. This is temporary and not
		// a failure of the back end, so the back end is avoided for a while but not
		// ejected.
		d.options.Health.Suspect(d.options.Clock(), r.health.Address)
	default:
		d.countUnlessCancelled(r, outlier.Reset)
	}
	r.lastError = caller.NewError(caller.KindOutcomeUnknown,
		"the back end's answer was lost (%v): find out whether the request has run before you send it again", err)
	r.apply(attempts.Event{Kind: attempts.OutcomeLost, Attempt: attempt})
	if r.unresumable {
		r.apply(attempts.Event{Kind: attempts.AttemptsExhausted})
	}
}

// countUnlessCancelled counts an outcome against the back end of an attempt, unless this
// node has cancelled the attempt.
func (d *Dispatcher) countUnlessCancelled(r *pendingRequest, outcome outlier.Outcome) {
	if r.Context.Err() == nil && !r.withdrawn {
		r.health.Failed(d.options.Clock(), outcome)
	}
}

// refusedError reports a back end that has refused to run the request.
func refusedError(refusal *outbound.RefusedError, wait time.Duration) *caller.Error {
	return caller.NewError(caller.KindBackendRefused,
		"the back end did not take the request (%v): send it again later", refusal).WithRetryAfter(max(refusal.RetryAfter, wait))
}

// budgetError reports a retry that the budget does not permit. It keeps the message of
// the last attempt's error.
func budgetError(last *caller.Error) *caller.Error {
	reason := "an earlier attempt failed"
	if last != nil {
		reason = last.Message
	}
	return caller.NewError(caller.KindRetryBudgetSpent,
		"the destination's share of retries is used up after this failure: %s", reason)
}

// respond performs the final action that the tracker asks for.
func (d *Dispatcher) respond(r *pendingRequest, action attempts.Action) {
	switch action.Kind {
	case attempts.Relay:
		r.Counters.CountCompleted()
		r.writeBuffered()
	case attempts.AbortRelay:
		d.abortRelay(r)
	case attempts.RespondNotRun:
		r.Refuse(r.finalError())
	case attempts.RespondUnknown:
		callerError := r.finalError()
		callerError.Kind = caller.KindOutcomeUnknown
		r.Refuse(callerError)
	case attempts.RespondDeadline:
		callerError := deadline.Error()
		callerError.MayHaveRun = r.tracker.MayHaveRun()
		r.Refuse(callerError)
	case attempts.Abandon:
		r.Counters.CountAbandoned()
		r.Failed = true
		r.CertainlyNotRun = !r.tracker.MayHaveRun()
		panic(http.ErrAbortHandler)
	default:
		panic(fmt.Sprintf("the tracker asks for %s although no attempt is running", action.Kind))
	}
}

// finalError returns the last error, marked with whether the request may have run according
// to the tracker.
func (r *pendingRequest) finalError() *caller.Error {
	callerError := r.lastError
	if callerError == nil {
		callerError = caller.NewError(caller.KindNoBackend, "no attempt was possible: send the request again").WithRetryAfter(DefaultBackendRetry)
	}
	// The last error may say by itself that the request may have run: if this node has lost
	// its claim, another node may have run the request.
	callerError.MayHaveRun = callerError.MayHaveRun || r.tracker.MayHaveRun()
	if r.tracker.MayHaveRun() {
		callerError.RetryIsSafe = false
	}
	return callerError
}
