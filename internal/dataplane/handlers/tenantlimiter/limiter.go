package tenantlimiter

import (
	"context"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/deadline"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/admission"
)

// Limiter makes the admission controller safe for concurrent use, and lets the goroutines of
// queued requests wait until these are admitted.
type Limiter struct {
	// clock returns the time elapsed on a clock that counts suspended time.
	clock func() time.Duration

	mutex      sync.Mutex
	controller *admission.Controller
	// waiting contains a channel for each queued request, which is closed when the request
	// is admitted.
	waiting map[admission.Ticket]chan struct{}
}

// NewLimiter returns the limiter of a node without requests.
func NewLimiter(clock func() time.Duration, node admission.Options) *Limiter {
	return &Limiter{
		clock:      clock,
		controller: admission.New(node),
		waiting:    make(map[admission.Ticket]chan struct{}),
	}
}

// acquire admits a request, if necessary after a wait in the tenant's queue, or returns an
// error that explains why it is not admitted. The caller must release the ticket of an
// admitted request. Before a wait, acquire calls onQueued; closing the channel that onQueued
// returns ends the wait.
func (l *Limiter) acquire(ctx context.Context, arrival admission.Arrival, onQueued func() <-chan struct{}) (admission.Ticket, *caller.Error) {
	decision, granted := l.arrive(arrival)
	switch decision.Outcome {
	case admission.Admitted:
		return decision.Ticket, nil
	case admission.Queued:
		return decision.Ticket, l.wait(ctx, arrival.Tenant, decision, granted, onQueued())
	default:
		return 0, admissionError(arrival.Tenant, decision)
	}
}

// arrive passes a request to the controller. The returned channel is closed when a queued
// request is admitted; it is nil if the request is not queued.
func (l *Limiter) arrive(arrival admission.Arrival) (admission.Decision, chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	decision := l.controller.Arrive(l.clock(), arrival)
	if decision.Outcome != admission.Queued {
		return decision, nil
	}
	granted := make(chan struct{})
	l.waiting[decision.Ticket] = granted
	return decision, granted
}

// admissionError returns the error for a request that was neither admitted nor queued.
func admissionError(tenant string, decision admission.Decision) *caller.Error {
	var callerError *caller.Error
	switch decision.Outcome {
	case admission.RefusedRate:
		callerError = caller.NewError(caller.KindRateLimited,
			"tenant %q sends more requests a second than it may: slow down", tenant)
	case admission.RefusedDeadline:
		callerError = caller.NewError(caller.KindDeadlineUnreachable,
			"so many requests of tenant %q wait on this node that the deadline would pass first: come back, or send a larger %s",
			tenant, caller.HeaderDeadline)
	default:
		callerError = caller.NewError(caller.KindQueueFull,
			"tenant %q has as many requests running and waiting as it may: wait for some to finish", tenant)
	}
	return callerError.WithRetryAfter(decision.RetryAfter)
}

// wait blocks until a queued request is admitted. It returns an error if the queue time-out
// passes, the context ends, or the body cannot be read before that.
func (l *Limiter) wait(ctx context.Context, tenant string, decision admission.Decision, granted chan struct{}, bodyFailed <-chan struct{}) *caller.Error {
	timer := time.NewTimer(max(decision.Until-l.clock(), 0))
	defer timer.Stop()
	select {
	case <-granted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	case <-bodyFailed:
	}
	if l.abandon(tenant, decision.Ticket) {
		return queueTimeoutError(ctx, tenant)
	}
	// The request was admitted at the same time, so its slot is taken.
	return nil
}

// queueTimeoutError returns the error for a queued request that was not admitted in time. It
// does not distinguish a caller that has disconnected, because that caller gets no response.
func queueTimeoutError(ctx context.Context, tenant string) *caller.Error {
	if deadline.Passed(ctx) {
		return deadline.Error()
	}
	return caller.NewError(caller.KindQueueTimeout,
		"no place became free for tenant %q in time: send fewer requests at a time", tenant).WithRetryAfter(time.Second)
}

// abandon ends the wait of a request. It returns false if the request was already admitted.
func (l *Limiter) abandon(tenant string, ticket admission.Ticket) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, found := l.waiting[ticket]; !found {
		return false
	}
	delete(l.waiting, ticket)
	l.controller.Abandon(tenant, ticket)
	return true
}

// release frees the slot of an admitted request, and wakes the queued requests that are
// admitted as a result.
func (l *Limiter) release(ended admission.Ticket) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, ticket := range l.controller.Release(l.clock(), ended) {
		granted, found := l.waiting[ticket]
		if found {
			delete(l.waiting, ticket)
			close(granted)
		}
	}
}

// Retain deletes the state of idle tenants that a view does not contain.
func (l *Limiter) Retain(view *routing.View) {
	names := make(map[string]bool, len(view.Tenants))
	for _, tenant := range view.Tenants {
		names[tenant.Name] = true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.controller.Retain(func(tenant string) bool { return names[tenant] })
}

// Waiting returns the number of requests that are queued now.
func (l *Limiter) Waiting() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.waiting)
}
