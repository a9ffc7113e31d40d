// Package duplicatechecker refuses a request whose identity this node is running or ran
// lately, unless both submissions may run more than once.
package duplicatechecker

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/duplicates"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// Handler checks requests against a register.
type Handler struct {
	register *duplicates.Register
	clock    func() time.Duration
}

// New returns the handler over a node's register.
func New(register *duplicates.Register, clock func() time.Duration) *Handler {
	return &Handler{register: register, clock: clock}
}

// Handle implements exchange.Handler. Only identities that a tenant chose are checked:
// those made by the node are unique, and callers without a key cannot be distinguished.
func (h *Handler) Handle(e *exchange.Exchange, next func()) {
	if e.Tenant == nil || e.Parsed.ID == "" {
		next()
		return
	}
	key := duplicates.Key{Tenant: e.Tenant.Name, ID: e.Parsed.ID}
	if !h.register.Begin(h.clock(), key, e.Parsed.Idempotent) {
		callerError := caller.NewError(caller.KindDuplicateRequest,
			"a request with this %s is running or has ended on this node: send a new one under a new identity", caller.HeaderRequestID)
		callerError.MayHaveRun = true
		e.Refuse(callerError)
		return
	}
	defer func() {
		if e.CertainlyNotRun || e.NotRunHere {
			h.register.Forget(key)
			return
		}
		h.register.Finish(h.clock(), key)
	}()
	next()
}
