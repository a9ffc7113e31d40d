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

// maxSelections bounds how often one attempt selects, since the view may have changed
// meanwhile, or another request may have taken the last place in a slow start.
const maxSelections = 8

// DefaultBackendRetry is when a caller may retry where no attempt says it.
const DefaultBackendRetry = time.Second

// Options configure a Dispatcher. All but Startup are required.
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
	// Router chooses replicas, and Naming is how these name the chunks of prompts.
	Router *kvrouter.Router
	Naming kvrouter.Naming
	// Startup delays prompts after the start of the node; nil for no delay.
	Startup *startupgate.Gate
	// Health learns the outcomes of attempts. Together with Quarantine and Stale it says
	// which back ends are avoided.
	Health     *health.Tracker
	Quarantine *health.Quarantine
	Stale      *health.StaleBackends
	// SlowStart limits the attempts on back ends that have started lately.
	SlowStart *warmup.Limiter
	// Updates gets what the other nodes are to learn of attempts.
	Updates *gossip.Outgoing
	// MaxAttempts bounds the attempts of a request whose route does not.
	MaxAttempts int
	// MaxUnsent is how many attempts that could not be sent are not counted among these.
	MaxUnsent int
	// BackendRetry is when a caller may retry after a failure of a back end.
	BackendRetry time.Duration
}

// Dispatcher is the last handler of the chain: it runs attempts as the request's
// attempts.Tracker asks for them, and responds.
type Dispatcher struct {
	options  Options
	inFlight *inFlight
	pools    backend
	webs     backend
}

// New returns a dispatcher without attempts.
func New(options Options) *Dispatcher {
	d := &Dispatcher{options: options, inFlight: newInFlight()}
	d.pools = newPoolBackend(&d.options)
	d.webs = newWebBackend(&d.options, d.inFlight)
	return d
}

// InFlight returns how many attempts are running on a back end.
func (d *Dispatcher) InFlight(address string) int {
	return d.inFlight.count(address)
}

// Handle implements exchange.Handler.
func (d *Dispatcher) Handle(e *exchange.Exchange, _ func()) {
	w := &work{Exchange: e}
	w.tracker = attempts.New(attempts.Options{
		Idempotent:  e.Parsed.Idempotent,
		Resumable:   e.Route.Config.GetResumable(),
		MaxAttempts: w.maxAttempts(d.options.MaxAttempts),
		MaxUnsent:   d.options.MaxUnsent,
	})
	if d.options.Startup != nil && e.Destination.WebService == nil {
		d.options.Startup.Wait(e.Context)
	}
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

// backend returns what runs the work's attempts.
func (d *Dispatcher) backend(w *work) backend {
	if w.Destination.WebService != nil {
		return d.webs
	}
	return d.pools
}

// dispatch runs one attempt, or records why there can be none.
func (d *Dispatcher) dispatch(w *work, attempt int) {
	chosen, callerError := d.choose(w)
	if callerError == nil && w.Context.Err() != nil {
		// It ended while the attempt was delayed.
		d.release(chosen, false)
		return
	}
	if callerError == nil && !w.Counters.PermitAttempt(d.options.Clock(), w.tracker.Sent(), attempt) {
		d.release(chosen, false)
		callerError = budgetError(w.lastError).WithRetryAfter(d.options.BackendRetry)
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
func (d *Dispatcher) choose(w *work) (target, *caller.Error) {
	for range maxSelections {
		if callerError := w.revalidate(d.options.Source); callerError != nil {
			return nil, callerError
		}
		chosen, callerError := d.backend(w).choose(w)
		if callerError != nil {
			return nil, callerError
		}
		chosen.waitBeforeSend(w)
		d.inFlight.begin(chosen.address())
		if chosen.stillEligible(w) && chosen.tryAcquireSlowStart() {
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
// complete. A streamed response is relayed here.
func (d *Dispatcher) run(w *work, chosen target, attempt int) bool {
	w.apply(attempts.Event{Kind: attempts.AttemptPlanned, Attempt: attempt, Address: chosen.address()})
	w.apply(attempts.Event{Kind: attempts.ConnectStarted, Attempt: attempt})
	w.health = d.options.Health.Begin(d.options.Clock(), chosen.address(), health.Expectation{
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
	d.options.Health.RecordResponse(chosen.address())
	w.apply(attempts.Event{Kind: attempts.BytesMayHaveLeft, Attempt: attempt})
	if err := d.receive(w, chosen, attempt, received); err != nil {
		d.recordLoss(w, attempt, err)
		return false
	}
	w.apply(attempts.Event{Kind: attempts.ResponseCompleted, Attempt: attempt})
	return true
}

// receive reads a response to its end. What need not be buffered is relayed at once.
func (d *Dispatcher) receive(w *work, chosen target, attempt int, received edges.Response) error {
	if w.relaying && (!received.Streamed() || received.Status() != http.StatusOK) {
		return &outbound.InvalidResponseError{Reason: fmt.Sprintf("the stream was not taken up: the back end answered with status %d", received.Status())}
	}
	if received.Streamed() {
		chunk, err := received.Next()
		if err != nil && !isCompleteEnd(err) {
			return err
		}
		chosen.firstOutput()
		w.health.Responded(d.options.Clock(), received.Status())
		return d.relay(w, attempt, received, chunk, err)
	}
	body, complete, err := received.ReadAll()
	if err != nil {
		return err
	}
	w.health.Responded(d.options.Clock(), received.Status())
	if !complete {
		return d.relay(w, attempt, received, body, nil)
	}
	w.buffered = &bufferedResponse{status: received.Status(), header: received.Header(), body: body}
	return nil
}
