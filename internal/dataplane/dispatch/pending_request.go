package dispatch

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
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

// pendingRequest is a request that has no complete response yet, with the state that its
// attempts share. It belongs to the request's goroutine.
type pendingRequest struct {
	*exchange.Exchange
	tracker *attempts.Tracker
	// tried holds the addresses of the back ends of earlier attempts. It is a slice because
	// a request has few attempts.
	tried []string
	// lastError is why the last attempt, or the last selection, failed.
	lastError *caller.Error
	// health observes the last attempt for the health of its back end.
	health *health.Attempt
	// withdrawn reports whether this node has withdrawn the last attempt.
	withdrawn bool
	// buffered is the response that the tracker's Relay action writes.
	buffered *bufferedResponse
	// relaying reports whether the header of a response that is relayed as it arrives has
	// been sent to the caller. From then on, the response can only be continued or aborted.
	// lastEventID is the ID of the last event that was sent to the caller; "" if events have
	// no IDs.
	relaying    bool
	lastEventID string
	// unresumable means that data without an event ID has been sent to the caller, so that
	// no other back end can continue the response after it.
	unresumable bool
}

// revalidate checks the request against the newest view: while the request waited, its key may
// have been revoked, the node may have been partitioned, or the node's claim on the request
// may have become invalid.
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

// recordContextEnd records whether the request's context has ended, and why.
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

// apply applies an event to the tracker. It panics if the tracker rejects the event: that is a
// bug in this package, and to continue could run a request twice.
func (r *pendingRequest) apply(event attempts.Event) {
	if err := r.tracker.Apply(event); err != nil {
		panic(err)
	}
}

// maxAttempts returns the maximum number of attempts of the route, or fallback if the route
// does not configure one.
func (r *pendingRequest) maxAttempts(fallback int) int {
	if limit := r.Route.Config.GetMaxAttempts(); limit > 0 {
		return int(limit)
	}
	return fallback
}

// attempt returns the description of an attempt on a back end, with the fields that pools and
// web services have in common.
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

		RequiresStream: r.Route.Config.GetKind() == ridgeswitchv1.RequestKind_STREAMING,
		Request:        r.Request,
		Body:           r.Body,
	}
	if r.Tenant != nil {
		described.Tenant = r.Tenant.Name
	}
	if until, bounded := r.Context.Deadline(); bounded {
		described.Remaining = time.Until(until)
	}
	return described
}
