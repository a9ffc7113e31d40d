// Package tenantlimiter enforces the limits of each tenant and those of the node: rate,
// requests at a time, and queues. A request that may not run yet waits in its goroutine.
//
// A Limiter owns the admission state of a node, and may be used concurrently.
package tenantlimiter

import (
	"cmp"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/bodyreader"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/admission"
)

// publicTenant is the tenant of requests without a key. No configured tenant has this
// name.
const publicTenant = ""

// Handler limits requests.
type Handler struct {
	limiter *Limiter
	bodies  *bodyreader.Handler
}

// New returns the handler over a node's limiter. The body of a request that waits is read
// meanwhile by bodies, since only then the node notices that its caller disconnects.
func New(limiter *Limiter, bodies *bodyreader.Handler) *Handler {
	return &Handler{limiter: limiter, bodies: bodies}
}

// Handle implements exchange.Handler.
func (h *Handler) Handle(e *exchange.Exchange, next func()) {
	ticket, callerError := h.limiter.acquire(e.Context, h.arrival(e), func() <-chan struct{} { return h.readBodyWhileQueued(e) })
	if callerError != nil {
		// If the body failed, that ended the wait, and is the better reason.
		e.Refuse(cmp.Or(e.BodyError(), callerError))
		return
	}
	defer h.limiter.release(ticket)
	next()
}

// readBodyWhileQueued reads the body of a request that waits. The channel is closed when
// that fails: the caller has disconnected, or its body is refused.
func (h *Handler) readBodyWhileQueued(e *exchange.Exchange) <-chan struct{} {
	if !e.HasBody() {
		return nil
	}
	failed := make(chan struct{})
	e.Pending = exchange.NewPendingBody()
	go func() {
		h.bodies.ReadPending(e)
		if e.Pending.Error != nil {
			close(failed)
		}
	}()
	return failed
}

// arrival describes a request to admission, with its deadline on the node's clock.
func (h *Handler) arrival(e *exchange.Exchange) admission.Arrival {
	arrival := admission.Arrival{Tenant: publicTenant}
	if e.Tenant != nil {
		arrival.Tenant = e.Tenant.Name
		arrival.Limits = admissionLimits(e.Tenant)
	}
	if deadline, bounded := e.Context.Deadline(); bounded {
		arrival.Deadline = h.limiter.clock() + time.Until(deadline)
	}
	return arrival
}

// admissionLimits returns a tenant's limits as admission reads them.
func admissionLimits(tenant *routing.Tenant) admission.Limits {
	limits := tenant.Limits
	return admission.Limits{
		RequestsPerSecond: limits.GetRequestsPerSecond(),
		Burst:             limits.GetBurst(),
		Concurrent:        limits.GetConcurrentRequests(),
		Queued:            limits.GetQueuedRequests(),
		QueueTimeout:      time.Duration(limits.GetQueueTimeoutMs()) * time.Millisecond,
	}
}
