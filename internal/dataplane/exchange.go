package dataplane

import (
	"context"
	"net/http"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/destinations"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// exchange is one request on its way through the chain, with what the handlers have found
// out about it. It belongs to one goroutine.
type exchange struct {
	edges   *Edges
	writer  http.ResponseWriter
	request *http.Request
	// ctx ends when the caller disconnects or the deadline passes.
	ctx     context.Context //nolint:containedctx // an exchange is one request, as http.Request is
	arrived time.Duration
	// view is the view under which the request was admitted.
	view *routing.View
	// keyDigest is empty if the caller gave no key.
	keyDigest   routing.KeyDigest
	tenant      *routing.Tenant
	host        string
	route       *routing.Route
	destination routing.Destination
	parsed      caller.Request
	requestID   string
	body        []byte
	// pending is the body that is being read; nil before that starts.
	pending *pendingBody
	// bodyRead reports whether body is complete.
	bodyRead bool
	// counters count the outcomes of the destination; nil before routing.
	counters *destinations.State
	// certainlyNotRun reports, after the response, that the request has not run and will
	// not run.
	certainlyNotRun bool
	// notRunHere reports, after a refusal, that this submission does not run, although an
	// earlier one of the same request may have.
	notRunHere bool
	// claim is nil unless the request must not run twice.
	claim Claim
	// failed reports whether the caller got no complete response of a back end.
	failed bool
	// observer observes the start of the response for the recording; nil without one.
	observer *responseObserver
}

// refuse responds with an error at once. The caller is told to retry only where a retry
// is safe.
func (e *exchange) refuse(callerError *caller.Error) {
	callerError.RequestID = e.requestID
	if callerError.MayHaveRun && !e.parsed.Idempotent && !callerError.RetryIsSafe {
		callerError.RetryAfter = 0
	}
	e.failed = true
	e.certainlyNotRun = !callerError.MayHaveRun
	if e.counters != nil {
		e.counters.CountRefusal(callerError.Kind)
	}
	e.observer.refused(callerError)
	e.boundUnreadBody()
	e.edges.Callers.WriteError(e.writer, callerError)
}

// maxAttempts is the route's bound of attempts, or the default.
func (e *exchange) maxAttempts(fallback int) int {
	if limit := e.route.Config.GetMaxAttempts(); limit > 0 {
		return int(limit)
	}
	return fallback
}

// attempt describes an attempt on a back end, as far as it is the same for all kinds of
// back ends.
func (w *work) attempt(server *Server, address string, number int) Attempt {
	described := Attempt{
		Address:     address,
		RequestID:   w.requestID,
		AttemptID:   server.ids.Next(),
		Number:      number,
		Priority:    w.view.Priority(w.tenant, w.route),
		Idempotent:  w.parsed.Idempotent,
		Streamed:    w.parsed.Streamed,
		ResumeAfter: w.lastEventID,
		Request:     w.request,
		Body:        w.body,
	}
	if w.tenant != nil {
		described.Tenant = w.tenant.Name
	}
	if deadline, bounded := w.ctx.Deadline(); bounded {
		described.Remaining = time.Until(deadline)
	}
	return described
}
