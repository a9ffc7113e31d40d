package dataplane

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/store"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// runningFeed is a feed under the supervisor.
type runningFeed struct {
	eventFeed *eventFeed
	token     suture.ServiceToken
}

// feedSpec is a back end that a view lists.
type feedSpec struct {
	source        eventSource
	weightVersion string
}

// feedManager keeps one feed running for every replica and store of the newest view.
type feedManager struct {
	server     *Server
	supervisor *suture.Supervisor
	replicas   eventSource
	stores     eventSource

	mutex   sync.Mutex
	running map[string]runningFeed
	view    *routing.View
}

// newFeedManager returns feeds that run once their supervisor does.
func newFeedManager(server *Server) *feedManager {
	timeout := server.options.EventTimeout
	return &feedManager{
		server:     server,
		supervisor: newSupervisor("feeds", server.options.Log),
		replicas:   replica.NewEventClient(server.sender, timeout),
		stores:     store.NewEventClient(server.sender, timeout),
		running:    make(map[string]runningFeed),
	}
}

// newSupervisor returns a supervisor that tells of what it meets in the log.
func newSupervisor(name string, log *logrus.Entry) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		EventHook: func(event suture.Event) { log.Warn(event.String()) },
	})
}

// Serve implements suture.Service: it compares the running feeds with the
// newest view until ctx ends.
func (f *feedManager) Serve(ctx context.Context) error {
	ticker := time.NewTicker(f.server.options.ViewInterval)
	defer ticker.Stop()
	for {
		f.reconcile(f.server.options.Source.View())
		f.server.slowStart.SetNodes(f.server.options.Clock(), f.server.options.Peers())
		f.resyncAfterGaps()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// String implements fmt.Stringer for the supervisor's messages.
func (f *feedManager) String() string {
	return "feeds"
}

// reconcile starts and stops feeds so that they fit a view.
func (f *feedManager) reconcile(view *routing.View) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if view == nil || view == f.view {
		return
	}
	f.view = view
	desired := f.desiredFeeds(view)
	for address, present := range f.running {
		if _, found := desired[address]; !found {
			f.stop(address, present)
		}
	}
	for address, spec := range desired {
		f.ensure(address, spec)
	}
	f.server.limiter.retain(view)
	f.server.stale.Retain(view)
	f.server.health.Follow(view)
}

// desiredFeeds returns the back ends whose events matter under a view.
func (f *feedManager) desiredFeeds(view *routing.View) map[string]feedSpec {
	desired := make(map[string]feedSpec)
	if f.server.options.Edges.Reports != nil {
		return desired
	}
	for _, pool := range view.Pools {
		for _, replica := range pool.Replicas {
			desired[replica.Address] = feedSpec{source: f.replicas, weightVersion: replica.WeightVersion}
		}
		if address := pool.Store.GetAddress(); address != "" {
			desired[address] = feedSpec{source: f.stores}
		}
	}
	return desired
}

// ensure starts a feed unless it runs, and tells it what control state expects.
func (f *feedManager) ensure(address string, spec feedSpec) {
	present, runs := f.running[address]
	if !runs {
		present.eventFeed = &eventFeed{
			address:    address,
			source:     spec.source,
			router:     f.server.router,
			quarantine: f.server.quarantine,
			health:     f.server.health.Detector,
			clock:      f.server.options.Clock,
		}
		present.eventFeed.expect(spec.weightVersion)
		present.token = f.supervisor.Add(present.eventFeed)
		f.running[address] = present
		return
	}
	present.eventFeed.expect(spec.weightVersion)
}

// stop ends the feed of a back end that is not listed any more, and forgets
// all that it has brought.
func (f *feedManager) stop(address string, present runningFeed) {
	_ = f.supervisor.RemoveAndWait(present.token, maxReconnectDelay)
	delete(f.running, address)
	f.server.router.Forget(address)
	f.server.quarantine.Forget(address)
}

// resyncAfterGaps asks for a reset where events were lost.
func (f *feedManager) resyncAfterGaps() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, address := range f.server.router.ResyncNeeded(f.server.options.Clock()) {
		if present, runs := f.running[address]; runs {
			present.eventFeed.resync()
		}
	}
}
