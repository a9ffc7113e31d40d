// Package authenticator looks up the tenant that the request's key belongs to.
package authenticator

import (
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// Handler authenticates requests. It refuses none: whether a request needs a tenant depends
// on its route, and package routematcher checks that.
type Handler struct{}

// New returns the handler.
func New() *Handler { return &Handler{} }

// Handle implements exchange.Handler.
func (*Handler) Handle(e *exchange.Exchange, next func()) {
	digest, given := e.Edges.Callers.KeyDigest(e.Request.Header)
	if given {
		e.KeyDigest = routing.KeyDigest(digest)
		e.Tenant = e.View.Tenants[e.KeyDigest]
	}
	next()
}

// KeyStillValid reports whether the request's key still belongs to the same tenant in a view.
// It is true for a request without a tenant.
func KeyStillValid(e *exchange.Exchange, view *routing.View) bool {
	if e.Tenant == nil {
		return true
	}
	tenant := view.Tenants[e.KeyDigest]
	return tenant != nil && tenant.Name == e.Tenant.Name
}

// UnauthorizedError returns the error for a request without a valid key.
func UnauthorizedError() *caller.Error {
	return caller.NewError(caller.KindUnauthorized,
		"the request carries no valid key: send %s: Bearer KEY with a key of your tenant", caller.HeaderAuthorization)
}
