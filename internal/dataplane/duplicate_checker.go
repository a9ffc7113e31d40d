package dataplane

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/duplicates"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// duplicateChecker refuses a request whose identity this node is running or ran lately,
// unless both submissions may run more than once.
type duplicateChecker struct {
	register *duplicates.Register
	clock    func() time.Duration
}

// handle implements handler. Only identities that a tenant chose are checked: those made
// by the node are unique, and callers without a key cannot be distinguished.
func (c *duplicateChecker) handle(e *exchange, next func()) {
	if e.tenant == nil || e.parsed.ID == "" {
		next()
		return
	}
	key := duplicates.Key{Tenant: e.tenant.Name, ID: e.parsed.ID}
	if !c.register.Begin(c.clock(), key, e.parsed.Idempotent) {
		callerError := caller.NewError(caller.KindDuplicateRequest,
			"a request with this %s is running or has ended on this node: send a new one under a new identity", caller.HeaderRequestID)
		callerError.MayHaveRun = true
		e.refuse(callerError)
		return
	}
	defer func() {
		if e.certainlyNotRun || e.notRunHere {
			c.register.Forget(key)
			return
		}
		c.register.Finish(c.clock(), key)
	}()
	next()
}
