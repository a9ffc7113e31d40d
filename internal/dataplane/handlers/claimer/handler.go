// Package claimer claims requests that must not run twice, among all nodes, before anything
// is sent.
package claimer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
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
	Claim(ctx context.Context, tenant, requestID string) (exchange.Claim, error)
}

// Handler claims requests.
type Handler struct {
	claims Claims
}

// New returns the handler over the claims of a node.
func New(claims Claims) *Handler {
	return &Handler{claims: claims}
}

// Handle implements exchange.Handler. Identities made by the node are unique, and an
// idempotent request needs no claim.
func (h *Handler) Handle(e *exchange.Exchange, next func()) {
	if e.Tenant == nil || e.Parsed.ID == "" || e.Parsed.Idempotent {
		next()
		return
	}
	claim, err := h.claims.Claim(e.Context, e.Tenant.Name, e.Parsed.ID)
	if err != nil {
		e.NotRunHere = true
		e.Refuse(Refusal(err))
		return
	}
	e.Claim = claim
	// The dispatcher panics where a response is truncated.
	defer func() { claim.End(!e.CertainlyNotRun) }()
	next()
}

// Refusal returns why a request could not be claimed. Either way it is unknown whether
// another submission of it has run.
func Refusal(err error) *caller.Error {
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
