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

// pendingRequest is a request that has no complete response yet, with what its attempts have
// left behind. It belongs to the request's goroutine.
type pendingRequest struct {
	*exchange.Exchange
	tracker *attempts.Tracker
	// tried holds the back ends of earlier attempts, of which there are few.
	tried []string
	// lastError is why the last attempt, or the last selection, failed.
	lastError *caller.Error
	// health observes the last attempt for the health of its back end.
	health *health.Attempt
	// buffered is the response that the tracker's Relay action writes.
	buffered *bufferedResponse
	// relaying reports whether the header of a response went to the caller. From then on
	// only the rest of that response can follow, or its abort. lastEventID identifies the
	// last event that went to the caller; "" if events have no identity.
	relaying    bool
	lastEventID string
}

// revalidate looks at the newest view again: a key may have been revoked, or the node may
// have been partitioned, while the request waited.
func (r *pendingRequest) revalidate(source routing.Source) *caller.Error {
	view, callerError := servingcheck.View(source)
	if callerError != nil {
		return callerError
	}
	if !authenticator.KeyStillValid(r.Exchange, view) {
		return authenticator.UnauthorizedError()
	}
	if !r.claimValid() {
		return claimer.Refusal(claimer.ErrClaimUndecided)
	}
	return nil
}

// claimValid reports whether the request may still be sent to a back end.
func (r *pendingRequest) claimValid() bool {
	return r.Claim == nil || r.Claim.Valid()
}

// recordContextEnd records the end of the request's context.
func (r *pendingRequest) recordContextEnd() {
	if r.Context.Err() == nil {
		return
	}
	if deadline.Passed(r.Context) {
		r.apply(attempts.Event{Kind: attempts.DeadlineExceeded})
		return
	}
	r.apply(attempts.Event{Kind: attempts.CallerDisconnected})
}

// apply applies an event. One that does not fit is a bug of this package, and going on
// could run a request twice.
func (r *pendingRequest) apply(event attempts.Event) {
	if err := r.tracker.Apply(event); err != nil {
		panic(err)
	}
}

// maxAttempts is the route's bound of attempts, or the default.
func (r *pendingRequest) maxAttempts(fallback int) int {
	if limit := r.Route.Config.GetMaxAttempts(); limit > 0 {
		return int(limit)
	}
	return fallback
}

// attempt describes an attempt on a back end, as far as that is the same for pools and web
// services.
func (r *pendingRequest) attempt(ids *requestid.Generator, address string, number int) edges.Attempt {
	described := edges.Attempt{
		Address:     address,
		RequestID:   r.RequestID,
		AttemptID:   ids.Next(),
		Number:      number,
		Priority:    r.View.Priority(r.Tenant, r.Route),
		Idempotent:  r.Parsed.Idempotent,
		Streamed:    r.Parsed.Streamed,
		ResumeAfter: r.lastEventID,
		Request:     r.Request,
		Body:        r.Body,
	}
	if r.Tenant != nil {
		described.Tenant = r.Tenant.Name
	}
	if until, bounded := r.Context.Deadline(); bounded {
		described.Remaining = time.Until(until)
	}
	return described
}
