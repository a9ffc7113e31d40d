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
	// minReconnectDelay is how long a feed waits before it opens a stream that has ended
	// again.
	minReconnectDelay = 100 * time.Millisecond
	// maxReconnectDelay is the upper bound of that after streams without any event, each of
	// which doubles it.
	maxReconnectDelay = 2 * time.Second
	// resetTimeout is how long a new stream may take until its reset arrives.
	resetTimeout = 5 * time.Second
)

// errResync ends a stream that must be opened again from a reset on.
var errResync = errors.New("the events are to be read again from a reset on")

// Source opens the event streams of back ends of one kind.
type Source interface {
	// Follow passes the events of a back end after a position to handle, until the
	// stream, handle or ctx ends. The error is never nil.
	Follow(ctx context.Context, address string, after replica.Position, handle func(replica.Event) error) error
}

// eventFeed brings one back end's events and load reports to the router. It runs under
// the supervisor for as long as the back end is listed.
type eventFeed struct {
	address    string
	source     Source
	router     *kvrouter.Router
	quarantine *health.Quarantine
	health     *outlier.Detector
	clock      func() time.Duration

	mutex sync.Mutex
	// expected is the weight version that control state has; empty for stores.
	expected string
	// cancelStream ends the stream that is open.
	cancelStream context.CancelFunc
	// resynced reports whether the open stream needs no reset, since it goes on after the
	// last event, or has had its reset.
	resynced bool
	// openedAt is when the open stream was opened.
	openedAt time.Duration

	// The fields below belong to the goroutine that runs Serve.

	// position is that of the last event; zero to start from a reset.
	position replica.Position
	// receivedEvent reports whether the stream has had an event.
	receivedEvent bool
	// quarantined reports whether the back end was in quarantine at its last report.
	quarantined bool
}

// Serve implements suture.Service: it follows the stream until ctx ends.
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

// setExpectedVersion sets the weight version that control state has.
func (f *eventFeed) setExpectedVersion(weightVersion string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.expected = weightVersion
}

// expectedVersion returns the weight version that control state has.
func (f *eventFeed) expectedVersion() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.expected
}

// resync ends the open stream so that it is opened again from a reset on. A stream that
// was opened from a reset on gets time for the reset to arrive.
func (f *eventFeed) resync() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	due := f.resynced || f.clock()-f.openedAt >= resetTimeout
	if due && f.cancelStream != nil {
		f.resynced = false
		f.cancelStream()
	}
}

// handle handles one event.
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

// advance remembers the newest event of the back end's present incarnation.
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

// wasResynced reports whether the stream has had its reset or needs none.
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
		return 0, errors.Errorf("an event has the unknown kind %q", event.Kind)
	}
}

// applyLoadReport passes a load report to the router, and enters or leaves quarantine by
// its weight version.
func (f *eventFeed) applyLoadReport(event replica.Event) error {
	report := event.Report
	if report == nil {
		return errors.New("a report event carries no report")
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

// sleep waits, and returns false if ctx ends first.
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
