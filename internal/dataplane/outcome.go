package dataplane

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/pkg/attempts"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
)

// versionError says that an answer was made under other weights than the cache
// salt of its request names.
type versionError struct {
	expected, answered string
}

// Error implements error.
func (e *versionError) Error() string {
	return fmt.Sprintf("the answer was made by weight version %q instead of %q", e.answered, e.expected)
}

// enterFailure enters the end of an attempt that got no answer.
func (d *dispatcher) enterFailure(w *work, chosen target, attempt int, err error) {
	var unsent *outbound.Error
	if errors.As(err, &unsent) && !unsent.MayHaveLeft {
		w.problem = d.unsentProblem(w, unsent)
		w.apply(attempts.Event{Kind: attempts.NotSent, Attempt: attempt})
		return
	}
	w.apply(attempts.Event{Kind: attempts.BytesMayHaveLeft, Attempt: attempt})
	if unsent == nil {
		d.server.health.Heard(chosen.address())
	}
	var refusal *outbound.RefusedError
	if errors.As(err, &refusal) {
		chosen.refused(refusal)
		if !refusal.WrongTarget && chosen.hasRoom() {
			w.health.failed(d.server.options.Clock(), outlier.Refused)
		}
		w.problem = refusedProblem(refusal, d.server.options.BackendRetry)
		w.apply(attempts.Event{Kind: attempts.Refused, Attempt: attempt})
		return
	}
	if unsent != nil && deadlinePassed(w.ctx) {
		d.server.health.Silent(d.server.options.Clock(), chosen.address())
	}
	d.enterLoss(w, attempt, err)
}

// unsentProblem tells why nothing was sent, and counts it against the back end
// unless that is this node's own bound.
func (d *dispatcher) unsentProblem(w *work, unsent *outbound.Error) *caller.Problem {
	wait := d.server.options.BackendRetry
	var spent *outbound.ConnectionsSpentError
	if errors.As(unsent, &spent) {
		return caller.NewProblem(caller.KindBackendsBusy,
			"the back end has as many connections as it may have: send the request again").After(wait)
	}
	d.countUnlessEnded(w, outlier.Unreached)
	return caller.NewProblem(caller.KindNoBackend,
		"the back end could not be reached: send the request again").After(wait)
}

// enterLoss enters that an attempt which was sent has no certain end.
func (d *dispatcher) enterLoss(w *work, attempt int, err error) {
	var failed *outbound.FailedAnswerError
	var gone *callerGoneError
	var otherWeights *versionError
	switch {
	case errors.As(err, &gone):
		w.apply(attempts.Event{Kind: attempts.CallerLeft})
	case errors.As(err, &failed):
		// A back end that answers is not suspected of being dead.
		d.countUnlessEnded(w, outlier.Errored)
	case errors.As(err, &otherWeights):
		// That is no fault of the back end, and passes.
		d.server.health.Suspect(d.server.options.Clock(), w.health.address)
	default:
		d.countUnlessEnded(w, outlier.Reset)
	}
	w.problem = caller.NewProblem(caller.KindOutcomeUnknown,
		"the back end's answer was lost (%v): find out whether the request has run before you send it again", err)
	w.apply(attempts.Event{Kind: attempts.EndLost, Attempt: attempt})
}

// countUnlessEnded enters an outcome against the back end of an attempt, unless
// the attempt was ended from this side.
func (d *dispatcher) countUnlessEnded(w *work, outcome outlier.Outcome) {
	if w.ctx.Err() == nil {
		w.health.failed(d.server.options.Clock(), outcome)
	}
}

// refusedProblem tells of a back end that promised not to run the request.
func refusedProblem(refusal *outbound.RefusedError, wait time.Duration) *caller.Problem {
	return caller.NewProblem(caller.KindBackendRefused,
		"the back end did not take the request (%v): send it again later", refusal).After(max(refusal.RetryAfter, wait))
}

// budgetProblem tells of a retry that the budget does not permit. It keeps
// what the last attempt's problem said.
func budgetProblem(last *caller.Problem) *caller.Problem {
	reason := "an earlier attempt failed"
	if last != nil {
		reason = last.Message
	}
	return caller.NewProblem(caller.KindRetryBudgetSpent,
		"the destination's share of retries is used up after this failure: %s", reason)
}

// answer does what the ledger asks for at the end.
func (d *dispatcher) answer(w *work, move attempts.Move) {
	switch move.Kind {
	case attempts.Relay:
		w.counters.countAnswered()
		w.writeReady()
	case attempts.AbortRelay:
		d.abortRelay(w)
	case attempts.AnswerNotRun:
		w.refuse(w.finalProblem())
	case attempts.AnswerUnknown:
		problem := w.finalProblem()
		problem.Kind = caller.KindOutcomeUnknown
		w.refuse(problem)
	case attempts.AnswerDeadline:
		problem := deadlineProblem()
		problem.MayHaveRun = w.ledger.MayHaveRun()
		w.refuse(problem)
	case attempts.Abandon:
		w.counters.countAbandoned()
		w.failed = true
		w.certainlyNotRun = !w.ledger.MayHaveRun()
		panic(http.ErrAbortHandler)
	default:
		panic(fmt.Sprintf("the ledger asks for %s although no attempt is running", move.Kind))
	}
}

// finalProblem returns the last problem with the ledger's word on whether the
// request may have run.
func (w *work) finalProblem() *caller.Problem {
	problem := w.problem
	if problem == nil {
		problem = caller.NewProblem(caller.KindNoBackend, "no attempt was possible: send the request again").After(DefaultBackendRetry)
	}
	// A lost claim may have let another node run the request.
	problem.MayHaveRun = problem.MayHaveRun || w.ledger.MayHaveRun()
	if w.ledger.MayHaveRun() {
		problem.RepeatIsSafe = false
	}
	return problem
}
