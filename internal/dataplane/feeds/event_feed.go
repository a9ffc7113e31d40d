package feeds

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/health"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
)

const (
	// minReconnectDelay is how long a feed waits after the end of a stream before it opens
	// the stream again.
	minReconnectDelay = 100 * time.Millisecond
	// maxReconnectDelay is the upper bound of the wait, which doubles after each stream that
	// delivered no event.
	maxReconnectDelay = 2 * time.Second
	// resetTimeout is how long a new stream may take until its reset arrives.
	resetTimeout = 5 * time.Second
)

// errResync ends a stream that must be reopened from a reset.
var errResync = errors.New("event stream must be reopened from a reset")

// Source opens the event streams of back ends of one kind.
type Source interface {
	// Follow passes the events of a back end after a position to handle until the stream
	// ends, handle returns an error, or ctx ends. The returned error is never nil.
	Follow(ctx context.Context, address string, after replica.Position, handle func(replica.Event) error) error
}

// eventFeed passes the events and load reports of one back end to the router. It runs under
// the supervisor as long as the newest view lists the back end.
type eventFeed struct {
	address    string
	source     Source
	router     *kvrouter.Router
	quarantine *health.Quarantine
	health     *outlier.Detector
	clock      func() time.Duration

	mutex sync.Mutex
	// expected is the weight version of the back end in control state; empty for stores.
	expected string
	// cancelStream ends the open stream.
	cancelStream context.CancelFunc
	// resynced reports whether the open stream needs no reset any more: it continues after
	// the last event, or its reset has arrived.
	resynced bool
	// openedAt is when the open stream was opened.
	openedAt time.Duration

	// The fields below belong to the goroutine that runs Serve.

	// position is the position of the last event; zero to start from a reset.
	position replica.Position
	// receivedEvent reports whether the stream has delivered an event.
	receivedEvent bool
	// quarantined reports whether the back end was in quarantine after its last report.
	quarantined bool
}

// Serve implements suture.Service: it reads the stream, and reopens it whenever it ends,
// until ctx ends.
func (f *eventFeed) Serve(ctx context.Context) error {
	wait := minReconnectDelay
	for ctx.Err() == nil {
		f.follow(ctx)
		if f.receivedEvent {
			wait = minReconnectDelay
		}
		if !sleep(ctx, wait) {
			break
		}
		wait = min(2*wait, maxReconnectDelay)
	}
	return ctx.Err()
}

// String implements fmt.Stringer for the supervisor's messages.
func (f *eventFeed) String() string {
	return "feed of " + f.address
}

// follow reads one stream to its end.
func (f *eventFeed) follow(ctx context.Context) {
	stream, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mutex.Lock()
	f.cancelStream = cancel
	f.resynced = f.position.Sequence > 0
	f.openedAt = f.clock()
	f.mutex.Unlock()
	f.receivedEvent = false
	err := f.source.Follow(stream, f.address, f.position, f.handle)
	if errors.Is(err, errResync) || !f.wasResynced() {
		f.position = replica.Position{}
	}
}

// setExpectedVersion sets the weight version of the back end in control state.
func (f *eventFeed) setExpectedVersion(weightVersion string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.expected = weightVersion
}

// expectedVersion returns the weight version of the back end in control state.
func (f *eventFeed) expectedVersion() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.expected
}

// resync ends the open stream so that it is reopened from a reset. A stream whose reset has
// not arrived yet is ended only once it has been open for resetTimeout.
func (f *eventFeed) resync() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	due := f.resynced || f.clock()-f.openedAt >= resetTimeout
	if due && f.cancelStream != nil {
		f.resynced = false
		f.cancelStream()
	}
}

// handle handles one event. An error ends the stream.
func (f *eventFeed) handle(event replica.Event) error {
	f.receivedEvent = true
	f.health.RecordAlive(f.clock(), f.address)
	if event.Kind == replica.EventReport {
		return f.applyLoadReport(event)
	}
	if f.quarantined {
		// The index holds no chunks of a replica in quarantine.
		return nil
	}
	status, err := f.applyChunks(event)
	if err != nil {
		return err
	}
	f.advance(event)
	if event.Kind == replica.EventReset {
		f.position.Sequence = event.Sequence
		f.setResynced()
		return nil
	}
	if status == cachefeed.Gap && f.wasResynced() {
		return errResync
	}
	return nil
}

// advance moves the position to the event if it is the newest of the back end's current
// incarnation.
func (f *eventFeed) advance(event replica.Event) {
	if event.Incarnation != f.position.Incarnation {
		f.position = replica.Position{Incarnation: event.Incarnation}
	}
	f.position.Sequence = max(f.position.Sequence, event.Sequence)
}

// setResynced records that a reset has arrived.
func (f *eventFeed) setResynced() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.resynced = true
}

// wasResynced reports whether the reset of the stream has arrived or is not needed.
func (f *eventFeed) wasResynced() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.resynced
}

// applyChunks passes an event about cached chunks to the router.
func (f *eventFeed) applyChunks(event replica.Event) (cachefeed.Status, error) {
	now := f.clock()
	switch event.Kind {
	case replica.EventStored, replica.EventReset:
		links, err := event.Links()
		if err != nil {
			return 0, err
		}
		if event.Kind == replica.EventReset {
			return f.router.Reset(now, f.address, event.Incarnation, event.Sequence, links), nil
		}
		return f.router.Stored(now, f.address, event.Incarnation, event.Sequence, links), nil
	case replica.EventRemoved:
		hashes, err := event.Hashes()
		if err != nil {
			return 0, err
		}
		return f.router.Removed(now, f.address, event.Incarnation, event.Sequence, hashes), nil
	default:
		return 0, errors.Errorf("back end %s sent an event of unknown kind %q", f.address, event.Kind)
	}
}

// applyLoadReport passes a load report to the router. Depending on the report's weight
// version, the back end enters or leaves quarantine; the reports of a back end in quarantine
// are not passed on.
func (f *eventFeed) applyLoadReport(event replica.Event) error {
	report := event.Report
	if report == nil {
		return errors.Errorf("back end %s sent a report event without a report", f.address)
	}
	if f.expectedVersion() != "" {
		f.quarantine.Report(f.address, report.WeightVersion)
	}
	wasQuarantined := f.quarantined
	f.quarantined = f.expectedVersion() != "" && f.quarantine.Contains(f.address, f.expectedVersion())
	if f.quarantined {
		if !wasQuarantined {
			f.router.Forget(f.address)
		}
		return nil
	}
	f.router.Report(f.clock(), f.address, routerReport(report))
	if wasQuarantined {
		return errResync
	}
	return nil
}

// routerReport converts a report to the router's type.
func routerReport(report *replica.Report) kvrouter.Report {
	return kvrouter.Report{
		ActivePrefillTokens: report.ActivePrefillTokens,
		ActiveDecodeTokens:  report.ActiveDecodeTokens,
		ActiveRequests:      report.ActiveRequests,
		WeightVersion:       report.WeightVersion,
		Incarnation:         report.Incarnation,
		Age:                 report.Age(),
		LastSequence:        report.LastSequence,
		Warming:             report.Warming,
	}
}

// sleep waits for a duration. It returns false if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
