package dataplane

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/authenticator"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/claimer"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/deadline"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/servingcheck"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/health"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/pkg/attempts"
)

// maxSelections bounds how often one attempt selects, since the view may have changed
// meanwhile, or another request may have taken the last place in a slow start.
const maxSelections = 8

// backend runs attempts of one kind of destination.
type backend interface {
	// choose selects a back end for an attempt of the work, or returns why there is none.
	choose(w *work) (target, *caller.Error)
}

// target is a back end chosen for one attempt.
type target interface {
	// waitBeforeSend delays the attempt while that makes it cheaper.
	waitBeforeSend(w *work)
	// address returns where the attempt goes.
	address() string
	// stillEligible reports whether the newest view still lets the request go there.
	stillEligible(w *work) bool
	// tryAcquireSlowStart counts the attempt if the back end is in slow start, and
	// returns false if it takes no more now.
	tryAcquireSlowStart() bool
	// send runs the attempt up to the header of its response.
	send(ctx context.Context, w *work, attempt int) (Response, error)
	// handleRefusal is called when the back end has refused to run the attempt.
	handleRefusal(refusal *outbound.RefusedError)
	// hasSpareCapacity reports whether the back end certainly has free slots, so that it
	// did not refuse for lack of them.
	hasSpareCapacity() bool
	// expectedDelay returns the expected time to the first output; 0 if it is not known.
	expectedDelay() time.Duration
	// firstOutput is called when a streamed response has started. The start of other
	// responses is not known: the header may come at any time before the end.
	firstOutput()
	// finish ends the attempt. It must be called once for every target.
	finish(completed bool)
}

// work is a request in the dispatcher.
type work struct {
	*exchange.Exchange
	tracker *attempts.Tracker
	// tried holds the back ends of earlier attempts, of which there are few.
	tried []string
	// lastError is why the last attempt, or the last selection, failed.
	lastError *caller.Error
	// health is that of the last attempt's back end.
	health *health.Attempt
	// buffered is the response that the tracker's Relay action writes.
	buffered *bufferedResponse
	// relaying reports whether the header of a response went to the caller, and
	// lastEventID is the last event that did.
	relaying    bool
	lastEventID string
}

// dispatcher is the last handler of the chain: it runs attempts as the tracker asks for
// them, and responds.
type dispatcher struct {
	server *Server
	pools  backend
	webs   backend
}

// newDispatcher returns the last handler of the chain.
func (s *Server) newDispatcher() *dispatcher {
	return &dispatcher{server: s, pools: newPoolBackend(s), webs: newWebBackend(s)}
}

// Handle implements exchange.Handler.
func (d *dispatcher) Handle(e *exchange.Exchange, _ func()) {
	w := &work{Exchange: e}
	w.tracker = attempts.New(attempts.Options{
		Idempotent:  e.Parsed.Idempotent,
		Resumable:   e.Route.Config.GetResumable(),
		MaxAttempts: w.maxAttempts(d.server.options.MaxAttempts),
		MaxUnsent:   d.server.options.MaxUnsent,
	})
	d.server.waitForStartup(w)
	for {
		w.recordContextEnd()
		action := w.tracker.Next()
		if action.Kind != attempts.Dispatch {
			d.respond(w, action)
			return
		}
		d.dispatch(w, action.Attempt)
	}
}

// waitForStartup delays a prompt until the start-up gate is open. Where back ends push
// their events there is no gate.
func (s *Server) waitForStartup(w *work) {
	if s.options.Edges.Reports != nil && w.Destination.WebService == nil {
		s.startup.Wait(w.Context)
	}
}

// backend returns what runs the work's attempts.
func (d *dispatcher) backend(w *work) backend {
	if w.Destination.WebService != nil {
		return d.webs
	}
	return d.pools
}

// dispatch runs one attempt, or records why there can be none.
func (d *dispatcher) dispatch(w *work, attempt int) {
	chosen, callerError := d.choose(w)
	if callerError == nil && w.Context.Err() != nil {
		// It ended while the attempt was delayed.
		d.release(chosen, false)
		return
	}
	if callerError == nil && !w.Counters.PermitAttempt(d.server.options.Clock(), w.tracker.Sent(), attempt) {
		d.release(chosen, false)
		callerError = budgetError(w.lastError).WithRetryAfter(d.server.options.BackendRetry)
	}
	if callerError != nil {
		w.lastError = callerError
		w.apply(attempts.Event{Kind: attempts.AttemptsExhausted})
		return
	}
	w.Observer.AttemptStarted(attempt)
	w.tried = append(w.tried, chosen.address())
	completed := false
	defer func() { d.release(chosen, completed) }()
	completed = d.run(w, chosen, attempt)
}

// choose selects a back end, waits if that makes the attempt cheaper, counts the attempt
// in, and only then looks at the newest view again. What it returns must be released.
func (d *dispatcher) choose(w *work) (target, *caller.Error) {
	for range maxSelections {
		if callerError := w.revalidate(d.server); callerError != nil {
			return nil, callerError
		}
		chosen, callerError := d.backend(w).choose(w)
		if callerError != nil {
			return nil, callerError
		}
		chosen.waitBeforeSend(w)
		d.server.inFlight.begin(chosen.address())
		if chosen.stillEligible(w) && chosen.tryAcquireSlowStart() {
			return chosen, nil
		}
		d.release(chosen, false)
	}
	return nil, caller.NewError(caller.KindNoBackend,
		"the back ends are changing: send the request again").WithRetryAfter(d.server.options.BackendRetry)
}

// release ends an attempt that choose has counted in.
func (d *dispatcher) release(chosen target, completed bool) {
	chosen.finish(completed)
	d.server.inFlight.end(chosen.address())
}

// run sends an attempt, records its outcome, and returns whether its response is
// complete. A streamed response is relayed here.
func (d *dispatcher) run(w *work, chosen target, attempt int) bool {
	w.apply(attempts.Event{Kind: attempts.AttemptPlanned, Attempt: attempt, Address: chosen.address()})
	w.apply(attempts.Event{Kind: attempts.ConnectStarted, Attempt: attempt})
	w.health = d.server.health.Begin(d.server.options.Clock(), chosen.address(), health.Expectation{
		Target:     w.Route.TargetLatency(),
		Delay:      chosen.expectedDelay(),
		WebService: w.Destination.WebService != nil,
	})
	defer w.health.End()
	received, err := chosen.send(w.Context, w, attempt)
	if err != nil {
		d.recordFailure(w, chosen, attempt, err)
		return false
	}
	defer received.Close()
	d.server.health.RecordResponse(chosen.address())
	w.apply(attempts.Event{Kind: attempts.BytesMayHaveLeft, Attempt: attempt})
	if err := d.receive(w, chosen, attempt, received); err != nil {
		d.recordLoss(w, attempt, err)
		return false
	}
	w.apply(attempts.Event{Kind: attempts.ResponseCompleted, Attempt: attempt})
	return true
}

// receive reads a response to its end. What need not be buffered is relayed at once.
func (d *dispatcher) receive(w *work, chosen target, attempt int, received Response) error {
	if w.relaying && (!received.Streamed() || received.Status() != http.StatusOK) {
		return &outbound.InvalidResponseError{Reason: fmt.Sprintf("the stream was not taken up: the back end answered with status %d", received.Status())}
	}
	if received.Streamed() {
		chunk, err := received.Next()
		if err != nil && !isCompleteEnd(err) {
			return err
		}
		chosen.firstOutput()
		w.health.Responded(d.server.options.Clock(), received.Status())
		return d.relay(w, attempt, received, chunk, err)
	}
	body, complete, err := received.ReadAll()
	if err != nil {
		return err
	}
	w.health.Responded(d.server.options.Clock(), received.Status())
	if !complete {
		return d.relay(w, attempt, received, body, nil)
	}
	w.buffered = &bufferedResponse{status: received.Status(), header: received.Header(), body: body}
	return nil
}

// revalidate looks at the newest view again: a key may have been revoked, or the node may
// have been partitioned, while the request waited.
func (w *work) revalidate(server *Server) *caller.Error {
	view, callerError := servingcheck.View(server.options.Source)
	if callerError != nil {
		return callerError
	}
	if !authenticator.KeyStillValid(w.Exchange, view) {
		return authenticator.UnauthorizedError()
	}
	if !w.claimValid() {
		return claimer.Refusal(claimer.ErrClaimUndecided)
	}
	return nil
}

// recordContextEnd records the end of the request's context.
func (w *work) recordContextEnd() {
	if w.Context.Err() == nil {
		return
	}
	if deadline.Passed(w.Context) {
		w.apply(attempts.Event{Kind: attempts.DeadlineExceeded})
		return
	}
	w.apply(attempts.Event{Kind: attempts.CallerDisconnected})
}

// apply applies an event. One that does not fit is a bug of this package, and going on
// could run a request twice.
func (w *work) apply(event attempts.Event) {
	if err := w.tracker.Apply(event); err != nil {
		panic(err)
	}
}

// maxAttempts is the route's bound of attempts, or the default.
func (w *work) maxAttempts(fallback int) int {
	if limit := w.Route.Config.GetMaxAttempts(); limit > 0 {
		return int(limit)
	}
	return fallback
}

// attempt describes an attempt on a back end, as far as it is the same for all kinds of
// back ends.
func (w *work) attempt(server *Server, address string, number int) Attempt {
	described := Attempt{
		Address:     address,
		RequestID:   w.RequestID,
		AttemptID:   server.ids.Next(),
		Number:      number,
		Priority:    w.View.Priority(w.Tenant, w.Route),
		Idempotent:  w.Parsed.Idempotent,
		Streamed:    w.Parsed.Streamed,
		ResumeAfter: w.lastEventID,
		Request:     w.Request,
		Body:        w.Body,
	}
	if w.Tenant != nil {
		described.Tenant = w.Tenant.Name
	}
	if deadline, bounded := w.Context.Deadline(); bounded {
		described.Remaining = time.Until(deadline)
	}
	return described
}

// claimValid reports whether the request may still be sent to a back end.
func (w *work) claimValid() bool {
	return w.Claim == nil || w.Claim.Valid()
}
