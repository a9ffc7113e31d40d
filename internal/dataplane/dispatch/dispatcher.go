package dispatch

import (
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/edges"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/health"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/requestid"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/startupgate"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/warmup"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/attempts"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

// maxSelections is the maximum number of selections for one attempt. A selected back end can
// become ineligible before the attempt is sent: the view may have changed in the meantime, or
// another request may have acquired the last permit of a back end in slow start.
const maxSelections = 8

// DefaultBackendRetry is the time after which a caller may retry a failed request if
// neither the settings nor a back end specify one.
const DefaultBackendRetry = time.Second

// Options configure a Dispatcher. All but StartupGate are required; MaxUnsent, MaxInFlight
// and BackendRetry may be 0.
type Options struct {
	// Log receives messages for operators, but none per request.
	Log *logrus.Entry
	// Source provides the newest view of control state.
	Source routing.Source
	// Clock returns the time elapsed on a clock that counts suspended time.
	Clock func() time.Duration
	// Zone is the zone that the node is in.
	Zone string
	// Replicas and WebServices send attempts.
	Replicas, WebServices edges.BackendEdge
	// IDs generates the identifiers of attempts.
	IDs *requestid.Generator
	// Router selects replicas. Naming is how the replicas identify the chunks of prompts:
	// by chain hashes, or by IDs that the caller assigns.
	Router *kvrouter.Router
	Naming kvrouter.Naming
	// StartupGate delays the requests to pools after the start of the node; nil for no
	// delay.
	StartupGate *startupgate.Gate
	// Health records the outcomes of attempts. Together with Quarantine and StaleBackends,
	// it determines which back ends are avoided.
	Health        *health.Tracker
	Quarantine    *health.Quarantine
	StaleBackends *health.StaleBackends
	// SlowStart limits the attempts on back ends that have started recently.
	SlowStart *warmup.Limiter
	// Updates collects what is reported to the other nodes about attempts.
	Updates *gossip.OutgoingUpdates
	// MaxAttempts is the maximum number of attempts per request on routes that do not
	// configure one.
	MaxAttempts int
	// MaxUnsent is how many attempts of a request that could not be sent do not count
	// towards MaxAttempts.
	MaxUnsent int
	// MaxInFlight bounds the attempts that run at once, each of which has a connection to a
	// back end; 0 means no limit.
	MaxInFlight int
	// BackendRetry is the time after which a caller may retry after a failure of a back
	// end.
	BackendRetry time.Duration
}

// Dispatcher is the last handler of the chain: it runs the attempts that the request's
// attempts.Tracker asks for, and responds to the caller.
type Dispatcher struct {
	options     Options
	invalid     *invalidResponses
	inFlight    *inFlight
	pools       *poolSelector
	webServices selector
}

// New returns a dispatcher without attempts.
func New(options Options) *Dispatcher {
	d := &Dispatcher{options: options, invalid: &invalidResponses{log: options.Log}, inFlight: newInFlight(options.MaxInFlight)}
	d.pools = newPoolSelector(&d.options)
	d.webServices = newWebSelector(&d.options, d.inFlight)
	return d
}

// InFlight returns how many attempts are running on a back end.
func (d *Dispatcher) InFlight(address string) int {
	return d.inFlight.count(address)
}

// WaitingAttempts returns how many attempts on replicas have no output yet.
func (d *Dispatcher) WaitingAttempts() int { return d.pools.waiting.count() }

// WithdrawOutdated withdraws the attempts whose output has not begun from the replicas on whose
// weights no request may begin any more.
func (d *Dispatcher) WithdrawOutdated(view *routing.View) {
	d.pools.waiting.withdraw(d.options.Clock(), view)
}

// Handle implements exchange.Handler.
func (d *Dispatcher) Handle(e *exchange.Exchange, _ func()) {
	r := &pendingRequest{Exchange: e}
	r.tracker = attempts.New(attempts.Options{
		Idempotent:  e.Parsed.Idempotent,
		Resumable:   e.Route.Config.GetResumable(),
		MaxAttempts: r.maxAttempts(d.options.MaxAttempts),
		MaxUnsent:   d.options.MaxUnsent,
	})
	if d.options.StartupGate != nil && e.Destination.WebService == nil {
		d.options.StartupGate.Wait(e.Context)
	}
	for {
		r.recordContextEnd()
		action := r.tracker.Next()
		if action.Kind != attempts.Dispatch {
			d.respond(r, action)
			return
		}
		d.dispatch(r, action.Attempt)
	}
}

// selectorFor returns the selector for the kind of destination of a request.
func (d *Dispatcher) selectorFor(r *pendingRequest) selector {
	if r.Destination.WebService != nil {
		return d.webServices
	}
	return d.pools
}

// dispatch runs one attempt, or records why no attempt is possible.
func (d *Dispatcher) dispatch(r *pendingRequest, attempt int) {
	chosen, callerError := d.choose(r)
	if callerError == nil && r.Context.Err() != nil {
		// The deadline passed, or the caller disconnected, before the attempt was sent.
		// Handle records which of the two happened.
		d.release(chosen, false)
		return
	}
	if callerError == nil && !r.Counters.PermitAttempt(d.options.Clock(), r.tracker.Sent(), attempt) {
		d.release(chosen, false)
		callerError = budgetError(r.lastError).WithRetryAfter(d.options.BackendRetry)
	}
	if callerError != nil {
		r.lastError = callerError
		r.apply(attempts.Event{Kind: attempts.AttemptsExhausted})
		return
	}
	r.Observer.AttemptStarted(attempt)
	r.tried = append(r.tried, chosen.address())
	completed := false
	defer func() { d.release(chosen, completed) }()
	completed = d.run(r, chosen, attempt)
}

// choose selects a back end, waits if that saves the back end work, counts the attempt as
// in flight, and only then checks the back end against the newest view again; the package
// comment gives the reason for this order. The caller must release the returned target.
func (d *Dispatcher) choose(r *pendingRequest) (target, *caller.Error) {
	for range maxSelections {
		if callerError := r.revalidate(d.options.Source); callerError != nil {
			return nil, callerError
		}
		chosen, callerError := d.selectorFor(r).selectTarget(r)
		if callerError != nil {
			return nil, callerError
		}
		chosen.waitBeforeSend(r)
		if !d.inFlight.begin(chosen.address()) {
			chosen.finish(false)
			inbound.CloseStalledRelay(r.Request)
			return nil, caller.NewError(caller.KindBackendsBusy,
				"the node has as many requests at back ends as it may: send the request again").WithRetryAfter(d.options.BackendRetry)
		}
		if chosen.stillEligible(r) && chosen.tryAcquireSlowStart() {
			return chosen, nil
		}
		d.release(chosen, false)
	}
	return nil, caller.NewError(caller.KindNoBackend,
		"the back ends are changing: send the request again").WithRetryAfter(d.options.BackendRetry)
}

// release ends an attempt that choose has counted as in flight.
func (d *Dispatcher) release(chosen target, completed bool) {
	chosen.finish(completed)
	d.inFlight.end(chosen.address())
}

// run sends an attempt, records its outcome, and returns whether its response is
// complete. A streamed or overlong response is relayed here, any other response by respond.
//
// run records only after send that bytes may have left, because the result of send tells
// whether any have. This is safe because the tracker belongs to this goroutine: no other
// goroutine reads it in the meantime.
func (d *Dispatcher) run(r *pendingRequest, chosen target, attempt int) bool {
	r.apply(attempts.Event{Kind: attempts.AttemptPlanned, Attempt: attempt, Address: chosen.address()})
	r.apply(attempts.Event{Kind: attempts.ConnectStarted, Attempt: attempt})
	r.health = d.options.Health.Begin(d.options.Clock(), chosen.address(), health.Expectation{
		Target:     r.Route.TargetLatency(),
		Delay:      chosen.expectedDelay(),
		WebService: r.Destination.WebService != nil,
	})
	defer r.health.End()
	received, err := chosen.send(r.Context, r, attempt)
	if err != nil {
		r.withdrawn = chosen.withdrawn()
		d.recordFailure(r, chosen, attempt, err)
		return false
	}
	defer received.Close()
	d.options.Health.RecordResponse(chosen.address())
	r.apply(attempts.Event{Kind: attempts.BytesMayHaveLeft, Attempt: attempt})
	if err := d.receive(r, chosen, attempt, received); err != nil {
		r.withdrawn = chosen.withdrawn()
		d.recordLoss(r, attempt, err)
		return false
	}
	r.apply(attempts.Event{Kind: attempts.ResponseCompleted, Attempt: attempt})
	return true
}

// receive reads a response to its end. Streams, and responses that are too long to be
// buffered, are relayed as they arrive. When a truncated stream is resumed, the new response
// continues the one that the caller is already receiving. So it must be a stream as well,
// with status 200.
func (d *Dispatcher) receive(r *pendingRequest, chosen target, attempt int, received edges.Response) error {
	if r.relaying && (!received.Streamed() || received.Status() != http.StatusOK) {
		return &outbound.InvalidResponseError{Kind: outbound.Malformed, Reason: fmt.Sprintf("the stream was not taken up: the back end answered with status %d", received.Status())}
	}
	if received.Streamed() {
		data, err := received.Next()
		if err != nil && !isCompleteEnd(err) {
			return err
		}
		chosen.firstOutput(r)
		r.health.Responded(d.options.Clock(), received.Status())
		return d.relay(r, attempt, received, data, err)
	}
	body, complete, err := received.ReadAll()
	if err != nil {
		return err
	}
	r.health.Responded(d.options.Clock(), received.Status())
	if !complete {
		return d.relay(r, attempt, received, body, nil)
	}
	r.buffered = &bufferedResponse{status: received.Status(), header: received.Header(), body: body}
	return nil
}
