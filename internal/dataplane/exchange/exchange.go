// Package exchange has what the handlers of the data plane's chain share: the Exchange, one
// request on its way through them.
//
// An Exchange belongs to the goroutine that serves its request, which passes it from one
// Handler to the next. Each field names the handler that sets it; later handlers read it.
// One other goroutine may use it: while the request is queued, handlers/bodyreader reads
// the body, and writes Pending's fields alone, until it closes Pending.Done.
package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/destinations"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/edges"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// Handler is one step of the chain. It may be used by many requests at a time.
type Handler interface {
	// Handle refuses the exchange, or calls next and returns after it.
	Handle(e *Exchange, next func())
}

// Claim is the exclusive right of this node to run a request.
type Claim interface {
	// Valid reports whether the claim is still valid. A node that was frozen or
	// partitioned for long has lost it.
	Valid() bool
	// End releases the claim. It is remembered for a while if the request may have run.
	End(mayHaveRun bool)
}

// Exchange is one request on its way through the chain, with what the handlers have found
// out about it.
type Exchange struct {
	Edges   *edges.Set
	Writer  http.ResponseWriter
	Request *http.Request
	// Context ends when the caller disconnects or, once handlers/deadline has set it, the
	// deadline passes.
	Context context.Context //nolint:containedctx // an exchange is one request, as http.Request is
	// Arrived is when the request came, on the node's clock.
	Arrived time.Duration
	// RequestID is the identity of the request, by handlers/requestidentifier.
	RequestID string
	// View is the view under which the request was admitted, by handlers/servingcheck. What
	// must hold at the time of sending is looked up in the newest view instead.
	View *routing.View
	// KeyDigest and Tenant are set by handlers/authenticator. The digest is empty if the
	// caller gave no key, and the tenant nil if the key is none of the view's.
	KeyDigest routing.KeyDigest
	Tenant    *routing.Tenant
	// Host, Route, Destination and Counters are set by handlers/routematcher. The counters
	// count the outcomes of the destination; nil before.
	Host        string
	Route       *routing.Route
	Destination routing.Destination
	Counters    *destinations.State
	// Parsed are the caller's headers, by handlers/requestparser.
	Parsed caller.Request
	// Pending is the body that is being read; nil before that starts. Once it is read
	// completely, handlers/bodyreader sets Body, and BodyRead.
	Pending  *PendingBody
	Body     []byte
	BodyRead bool
	// Claim is set by handlers/claimer; nil unless the request must not run twice.
	Claim Claim
	// CertainlyNotRun reports, after the response, that the request has not run and will
	// not run.
	CertainlyNotRun bool
	// NotRunHere reports, after a refusal, that this submission does not run, although an
	// earlier one of the same request may have.
	NotRunHere bool
	// Failed reports whether the caller got no complete response of a back end.
	Failed bool
	// Observer observes the start of the response for the recording; nil without one.
	Observer *Observer
}

// Refuse responds with an error at once. The caller is told to retry only where a retry
// is safe.
func (e *Exchange) Refuse(callerError *caller.Error) {
	callerError.RequestID = e.RequestID
	if callerError.MayHaveRun && !e.Parsed.Idempotent && !callerError.RetryIsSafe {
		callerError.RetryAfter = 0
	}
	e.Failed = true
	e.CertainlyNotRun = !callerError.MayHaveRun
	if e.Counters != nil {
		e.Counters.CountRefusal(callerError.Kind)
	}
	e.Observer.refused(callerError)
	e.boundUnreadBody()
	e.Edges.Callers.WriteError(e.Writer, callerError)
}
