package dataplane

import (
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// requestNamer gives every request an identity, so that each refusal names it.
type requestNamer struct {
	identities *identities
}

// handle implements handler. An identity that cannot be used is replaced here
// and refused when the headers are read.
func (n *requestNamer) handle(e *exchange, next func()) {
	e.requestID = e.edges.Callers.RequestID(e.request.Header)
	if e.requestID == "" || len(e.requestID) > caller.MaxRequestIDBytes {
		e.requestID = n.identities.next()
	}
	next()
}

// tenantIdentifier finds the tenant of the request's key. Whether a tenant is
// needed is decided by the route.
type tenantIdentifier struct{}

// handle implements handler.
func (*tenantIdentifier) handle(e *exchange, next func()) {
	digest, given := e.edges.Callers.KeyDigest(e.request.Header)
	if given {
		e.keyDigest = routing.KeyDigest(digest)
		e.tenant = e.view.Tenants[e.keyDigest]
	}
	next()
}

// keyStillAdmits tells whether a view admits the request's key for the same
// tenant.
func (e *exchange) keyStillAdmits(view *routing.View) bool {
	if e.tenant == nil {
		return true
	}
	tenant := view.Tenants[e.keyDigest]
	return tenant != nil && tenant.Name == e.tenant.Name
}

// unauthorized is the refusal of a request without a valid key.
func unauthorized() *caller.Problem {
	return caller.NewProblem(caller.KindUnauthorized,
		"the request carries no valid key: send %s: Bearer KEY with a key of your tenant", caller.HeaderAuthorization)
}
