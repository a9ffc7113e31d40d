// Package tenantlimiter enforces the limits of each tenant and of the node: the request rate,
// the number of concurrent requests, and the length of queues. A request that may not run yet
// waits in its goroutine.
//
// A Limiter owns the admission state of a node, and is safe for concurrent use.
package tenantlimiter

import (
	"cmp"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/bodyreader"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/admission"
)

// publicTenant is the tenant name of requests without a valid key. No configured tenant has
// this name.
const publicTenant = ""

// Handler applies the limits of a Limiter to requests.
type Handler struct {
	limiter *Limiter
	bodies  *bodyreader.Handler
}

// New returns the handler that uses a node's limiter. While a request waits, bodies reads its
// body: the node notices a caller's disconnect only after the body has been read.
func New(limiter *Limiter, bodies *bodyreader.Handler) *Handler {
	return &Handler{limiter: limiter, bodies: bodies}
}

// Handle implements exchange.Handler.
func (h *Handler) Handle(e *exchange.Exchange, next func()) {
	ticket, callerError := h.limiter.acquire(e.Context, h.arrival(e), func() <-chan struct{} { return h.readBodyWhileQueued(e) })
	if callerError != nil {
		// If the body could not be read, that ended the wait, and the caller gets this
		// error.
		e.Refuse(cmp.Or(e.BodyError(), callerError))
		return
	}
	defer h.limiter.release(ticket)
	next()
}

// readBodyWhileQueued reads the body of a request that waits, in another goroutine. The
// returned channel is closed if the body cannot be read: the caller has disconnected, or the
// body is refused. It is nil for a request without a body.
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

// arrival returns the description of a request for the admission controller, with its
// deadline on the node's clock.
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

// admissionLimits converts a tenant's limits to those of package admission.
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
