// Package requestidentifier assigns an identity to every request, so that each refusal can
// contain it.
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

// New returns the handler. ids generates the identities of requests for which the caller has
// chosen none that is usable.
func New(ids *requestid.Generator) *Handler {
	return &Handler{ids: ids}
}

// Handle implements exchange.Handler. An identity that is too long is replaced here. Whether
// it is also refused is decided later by the parser of the callers' protocol (package
// requestparser): the native protocol refuses it.
func (h *Handler) Handle(e *exchange.Exchange, next func()) {
	e.RequestID = e.Edges.Callers.RequestID(e.Request.Header)
	if e.RequestID == "" || len(e.RequestID) > caller.MaxRequestIDBytes {
		e.RequestID = h.ids.Next()
	}
	next()
}
