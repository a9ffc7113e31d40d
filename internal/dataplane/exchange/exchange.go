// Package exchange defines the types that the handlers of the data plane's chain share, above
// all Exchange, the state of one request while the handlers process it.
//
// An Exchange belongs to the goroutine that serves its request, which passes it from one
// Handler to the next. The comment of each field names the handler that sets the field; later
// handlers read it. At most one other goroutine uses the Exchange: while the request is
// queued, a goroutine of handlers/bodyreader reads the body and writes only the fields of
// Pending, until it closes Pending.Done.
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
	// Handle refuses the exchange, or calls next and returns after next has returned.
	Handle(e *Exchange, next func())
}

// Claim is the exclusive right of this node to run a request.
type Claim interface {
	// Valid reports whether the claim is still valid. A node that was suspended or
	// partitioned for a long time loses its claims.
	Valid() bool
	// End releases the claim. If the request may have run, the claim is remembered for some
	// time.
	End(mayHaveRun bool)
}

// Exchange is the state of one request in the chain. Each handler adds its results.
type Exchange struct {
	Edges   *edges.Set
	Writer  http.ResponseWriter
	Request *http.Request
	// Context ends when the caller disconnects or, once handlers/deadline has set it, the
	// deadline passes.
	Context context.Context //nolint:containedctx // an exchange is one request, as http.Request is
	// Arrived is when the request arrived, on the node's clock.
	Arrived time.Duration
	// RequestID is the identity of the request. It is set by handlers/requestidentifier.
	RequestID string
	// View is the view under which the request was admitted. It is set by
	// handlers/servingcheck. Conditions that must hold when the request is sent are checked
	// against the newest view instead.
	View *routing.View
	// KeyDigest and Tenant are set by handlers/authenticator. KeyDigest is empty if the
	// caller sent no key, and Tenant is nil if the view does not contain the key.
	KeyDigest routing.KeyDigest
	Tenant    *routing.Tenant
	// Host, Route, Destination and Counters are set by handlers/routematcher. Counters
	// counts the outcomes of the requests to the destination; it is nil before.
	Host        string
	Route       *routing.Route
	Destination routing.Destination
	Counters    *destinations.State
	// Parsed contains the parsed headers of the caller. It is set by handlers/requestparser.
	Parsed caller.Request
	// Pending is the body that is being read; nil before the reading starts. Once the body
	// has been read completely, handlers/bodyreader sets Body and BodyRead.
	Pending  *PendingBody
	Body     []byte
	BodyRead bool
	// Claim is set by handlers/claimer; nil unless the request must not run twice.
	Claim Claim
	// CertainlyNotRun reports, after the response, that the request has not run and will
	// not run.
	CertainlyNotRun bool
	// NotRunHere reports, after a refusal, that this submission of the request does not
	// run, although an earlier submission of the same request may have run.
	NotRunHere bool
	// Failed reports whether the caller got an error, or no complete response of a back
	// end.
	Failed bool
	// Observer records the start of the response for the recording of requests; nil if
	// there is no recording.
	Observer *Observer
}

// Refuse responds with an error at once. The error contains a time to retry after only if a
// retry is safe.
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
