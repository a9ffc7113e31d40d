// Package requestidentifier gives every request an identity, so that each refusal carries
// it.
package requestidentifier

import (
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/requestid"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// Handler identifies requests.
type Handler struct {
	ids *requestid.Generator
}

// New returns the handler, which takes the identities that it makes from ids.
func New(ids *requestid.Generator) *Handler {
	return &Handler{ids: ids}
}

// Handle implements exchange.Handler. An identity that cannot be used is replaced here, and
// refused when the headers are parsed.
func (h *Handler) Handle(e *exchange.Exchange, next func()) {
	e.RequestID = e.Edges.Callers.RequestID(e.Request.Header)
	if e.RequestID == "" || len(e.RequestID) > caller.MaxRequestIDBytes {
		e.RequestID = h.ids.Next()
	}
	next()
}
