package dispatch

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/edges"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/authenticator"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/claimer"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/deadline"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/servingcheck"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/health"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/requestid"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/attempts"
)

// work is a request in the dispatcher, with what its attempts have left behind. It belongs
// to the request's goroutine.
type work struct {
	*exchange.Exchange
	tracker *attempts.Tracker
	// tried holds the back ends of earlier attempts, of which there are few.
	tried []string
	// lastError is why the last attempt, or the last selection, failed.
	lastError *caller.Error
	// health is that of the last attempt's back end.
	health *health.Attempt
	// buffered is the response that the tracker's Relay action writes.
	buffered *bufferedResponse
	// relaying reports whether the header of a response went to the caller, and
	// lastEventID is the last event that did.
	relaying    bool
	lastEventID string
}

// revalidate looks at the newest view again: a key may have been revoked, or the node may
// have been partitioned, while the request waited.
func (w *work) revalidate(source routing.Source) *caller.Error {
	view, callerError := servingcheck.View(source)
	if callerError != nil {
		return callerError
	}
	if !authenticator.KeyStillValid(w.Exchange, view) {
		return authenticator.UnauthorizedError()
	}
	if !w.claimValid() {
		return claimer.Refusal(claimer.ErrClaimUndecided)
	}
	return nil
}

// claimValid reports whether the request may still be sent to a back end.
func (w *work) claimValid() bool {
	return w.Claim == nil || w.Claim.Valid()
}

// recordContextEnd records the end of the request's context.
func (w *work) recordContextEnd() {
	if w.Context.Err() == nil {
		return
	}
	if deadline.Passed(w.Context) {
		w.apply(attempts.Event{Kind: attempts.DeadlineExceeded})
		return
	}
	w.apply(attempts.Event{Kind: attempts.CallerDisconnected})
}

// apply applies an event. One that does not fit is a bug of this package, and going on
// could run a request twice.
func (w *work) apply(event attempts.Event) {
	if err := w.tracker.Apply(event); err != nil {
		panic(err)
	}
}

// maxAttempts is the route's bound of attempts, or the default.
func (w *work) maxAttempts(fallback int) int {
	if limit := w.Route.Config.GetMaxAttempts(); limit > 0 {
		return int(limit)
	}
	return fallback
}

// attempt describes an attempt on a back end, as far as it is the same for all kinds of
// back ends.
func (w *work) attempt(ids *requestid.Generator, address string, number int) edges.Attempt {
	described := edges.Attempt{
		Address:     address,
		RequestID:   w.RequestID,
		AttemptID:   ids.Next(),
		Number:      number,
		Priority:    w.View.Priority(w.Tenant, w.Route),
		Idempotent:  w.Parsed.Idempotent,
		Streamed:    w.Parsed.Streamed,
		ResumeAfter: w.lastEventID,
		Request:     w.Request,
		Body:        w.Body,
	}
	if w.Tenant != nil {
		described.Tenant = w.Tenant.Name
	}
	if until, bounded := w.Context.Deadline(); bounded {
		described.Remaining = time.Until(until)
	}
	return described
}
