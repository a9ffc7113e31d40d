package dataplane

import (
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/requestid"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// requestIdentifier gives every request an identity, so that each refusal carries it.
type requestIdentifier struct {
	ids *requestid.Generator
}

// handle implements handler. An identity that cannot be used is replaced here, and
// refused when the headers are parsed.
func (n *requestIdentifier) handle(e *exchange, next func()) {
	e.requestID = e.edges.Callers.RequestID(e.request.Header)
	if e.requestID == "" || len(e.requestID) > caller.MaxRequestIDBytes {
		e.requestID = n.ids.Next()
	}
	next()
}

// authenticator finds the tenant of the request's key. Whether a tenant is required is
// decided by the route.
type authenticator struct{}

// handle implements handler.
func (*authenticator) handle(e *exchange, next func()) {
	digest, given := e.edges.Callers.KeyDigest(e.request.Header)
	if given {
		e.keyDigest = routing.KeyDigest(digest)
		e.tenant = e.view.Tenants[e.keyDigest]
	}
	next()
}

// keyStillValid reports whether a view admits the request's key for the same tenant.
func (e *exchange) keyStillValid(view *routing.View) bool {
	if e.tenant == nil {
		return true
	}
	tenant := view.Tenants[e.keyDigest]
	return tenant != nil && tenant.Name == e.tenant.Name
}

// unauthorizedError is the refusal of a request without a valid key.
func unauthorizedError() *caller.Error {
	return caller.NewError(caller.KindUnauthorized,
		"the request carries no valid key: send %s: Bearer KEY with a key of your tenant", caller.HeaderAuthorization)
}
