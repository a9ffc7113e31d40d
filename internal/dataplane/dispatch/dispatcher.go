package dispatch

import (
	"fmt"
	"net/http"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/edges"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/health"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/requestid"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/startupgate"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/warmup"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/attempts"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

// maxSelections bounds how often one attempt selects. What it has selected may be of no use
// any more: the view may have changed meanwhile, or another request may have got the last
// permit of a back end in slow start.
const maxSelections = 8

// DefaultBackendRetry is when a caller may retry where no attempt says it.
const DefaultBackendRetry = time.Second

// Options configure a Dispatcher. All but StartupGate are required; MaxUnsent and BackendRetry
// may be 0.
type Options struct {
	// Source provides control state.
	Source routing.Source
	// Clock returns the time elapsed on a clock that counts suspended time.
	Clock func() time.Duration
	// Zone is the zone that the node is in.
	Zone string
	// Replicas and WebServices send attempts.
	Replicas, WebServices edges.BackendEdge
	// IDs makes the identities of attempts.
	IDs *requestid.Generator
	// Router chooses replicas, and Naming is how these name the chunks of prompts: by
	// chain hashes, or by the caller's names.
	Router *kvrouter.Router
	Naming kvrouter.Naming
	// StartupGate delays prompts after the start of the node; nil for no delay.
	StartupGate *startupgate.Gate
	// Health learns the outcomes of attempts. Together with Quarantine and StaleBackends
	// it says which back ends are avoided.
	Health        *health.Tracker
	Quarantine    *health.Quarantine
	StaleBackends *health.StaleBackends
	// SlowStart limits the attempts on back ends that have started lately.
	SlowStart *warmup.Limiter
	// Updates gets what the other nodes are to learn of attempts.
	Updates *gossip.OutgoingUpdates
	// MaxAttempts bounds the attempts of a request whose route does not.
	MaxAttempts int
	// MaxUnsent is how many attempts that could not be sent a request may have beyond
	// MaxAttempts.
	MaxUnsent int
	// BackendRetry is when a caller may retry after a failure of a back end.
	BackendRetry time.Duration
}

// Dispatcher is the last handler of the chain: it runs attempts as the request's
// attempts.Tracker asks for them, and responds.
type Dispatcher struct {
	options     Options
	inFlight    *inFlight
	pools       selector
	webServices selector
}

// New returns a dispatcher without attempts.
func New(options Options) *Dispatcher {
	d := &Dispatcher{options: options, inFlight: newInFlight()}
	d.pools = newPoolSelector(&d.options)
	d.webServices = newWebSelector(&d.options, d.inFlight)
	return d
}

// InFlight returns how many attempts are running on a back end.
func (d *Dispatcher) InFlight(address string) int {
	return d.inFlight.count(address)
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

// selectorFor returns what selects the back ends of a request.
func (d *Dispatcher) selectorFor(r *pendingRequest) selector {
	if r.Destination.WebService != nil {
		return d.webServices
	}
	return d.pools
}

// dispatch runs one attempt, or records why there can be none.
func (d *Dispatcher) dispatch(r *pendingRequest, attempt int) {
	chosen, callerError := d.choose(r)
	if callerError == nil && r.Context.Err() != nil {
		// The deadline passed, or the caller disconnected, while the attempt was delayed.
		// Handle records which.
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

// choose selects a back end, waits if that makes the attempt cheaper, counts the attempt
// in, and only then looks at the newest view again: the package comment says why in this
// order. What it returns must be released.
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
		d.inFlight.begin(chosen.address())
		if chosen.stillEligible(r) && chosen.tryAcquireSlowStart() {
			return chosen, nil
		}
		d.release(chosen, false)
	}
	return nil, caller.NewError(caller.KindNoBackend,
		"the back ends are changing: send the request again").WithRetryAfter(d.options.BackendRetry)
}

// release ends an attempt that choose has counted in.
func (d *Dispatcher) release(chosen target, completed bool) {
	chosen.finish(completed)
	d.inFlight.end(chosen.address())
}

// run sends an attempt, records its outcome, and returns whether its response is
// complete. A streamed response is relayed here, any other one by respond.
//
// That bytes may have left is recorded only after send, which says whether any have: the
// tracker belongs to this goroutine, so that nobody reads it in between.
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
		d.recordFailure(r, chosen, attempt, err)
		return false
	}
	defer received.Close()
	d.options.Health.RecordResponse(chosen.address())
	r.apply(attempts.Event{Kind: attempts.BytesMayHaveLeft, Attempt: attempt})
	if err := d.receive(r, chosen, attempt, received); err != nil {
		d.recordLoss(r, attempt, err)
		return false
	}
	r.apply(attempts.Event{Kind: attempts.ResponseCompleted, Attempt: attempt})
	return true
}

// receive reads a response to its end. A stream is relayed as it arrives, and so is a
// response that is too long to be buffered. A stream that is resumed goes on within the
// response that the caller already gets, so only another stream can continue it.
func (d *Dispatcher) receive(r *pendingRequest, chosen target, attempt int, received edges.Response) error {
	if r.relaying && (!received.Streamed() || received.Status() != http.StatusOK) {
		return &outbound.InvalidResponseError{Reason: fmt.Sprintf("the stream was not taken up: the back end answered with status %d", received.Status())}
	}
	if received.Streamed() {
		data, err := received.Next()
		if err != nil && !isCompleteEnd(err) {
			return err
		}
		chosen.firstOutput()
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
