package dataplane

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// ErrAlreadyClaimed is returned for a request that another node runs or ran lately.
var ErrAlreadyClaimed = errors.New("the request is claimed by another submission: send a new one under a new identity")

// ErrClaimUndecided is returned when it cannot be decided in time whether another node
// runs the request.
var ErrClaimUndecided = errors.New("too few nodes could tell whether the request runs elsewhere: send it again under the same identity")

// claimRetryAfter is when a caller may retry after an undecided claim.
const claimRetryAfter = time.Second

// Claims decide, among all nodes, which of them runs a request that must not
// run twice.
type Claims interface {
	// Claim claims a tenant's request for this node. It takes no longer than the claim's
	// own bound, and ends with ctx. The errors are ErrAlreadyClaimed and
	// ErrClaimUndecided; after an error nothing needs to be released.
	Claim(ctx context.Context, tenant, requestID string) (Claim, error)
}

// Claim is the exclusive right of this node to run a request.
type Claim interface {
	// Valid reports whether the claim is still valid. A node that was frozen or
	// partitioned for long has lost it.
	Valid() bool
	// End releases the claim. It is remembered for a while if the request may have run.
	End(mayHaveRun bool)
}

// claimHandler claims requests that must not run twice before anything is sent.
type claimHandler struct {
	claims Claims
}

// handle implements handler. Identities made by the node are unique, and an idempotent
// request needs no claim.
func (s *claimHandler) handle(e *exchange, next func()) {
	if e.tenant == nil || e.parsed.ID == "" || e.parsed.Idempotent {
		next()
		return
	}
	claim, err := s.claims.Claim(e.ctx, e.tenant.Name, e.parsed.ID)
	if err != nil {
		e.notRunHere = true
		e.refuse(claimError(err))
		return
	}
	e.claim = claim
	// The dispatcher panics where a response is truncated.
	defer func() { claim.End(!e.certainlyNotRun) }()
	next()
}

// claimError returns why a request could not be claimed. Either way it is unknown whether
// another submission of it has run.
func claimError(err error) *caller.Error {
	if errors.Is(err, ErrAlreadyClaimed) {
		callerError := caller.NewError(caller.KindDuplicateRequest,
			"a request with this %s is running or has ended on another node: send a new one under a new identity", caller.HeaderRequestID)
		callerError.MayHaveRun = true
		return callerError
	}
	callerError := caller.NewError(caller.KindClaimUndecided,
		"this submission does not run, but whether an earlier one with this %s has run cannot be told now: send it again under the same identity",
		caller.HeaderRequestID).WithRetryAfter(claimRetryAfter)
	callerError.MayHaveRun = true
	callerError.RetryIsSafe = true
	return callerError
}

// claimValid reports whether the request may still be sent to a back end.
func (w *work) claimValid() bool {
	return w.claim == nil || w.claim.Valid()
}
