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
	feed  *feed
	token suture.ServiceToken
}

// wantedFeed is a back end that a view lists.
type wantedFeed struct {
	source        eventSource
	weightVersion string
}

// feeds keeps one feed running for every replica and store of the newest view.
type feeds struct {
	server     *Server
	supervisor *suture.Supervisor
	replicas   eventSource
	stores     eventSource

	mutex   sync.Mutex
	running map[string]runningFeed
	view    *routing.View
}

// newFeeds returns feeds that run once their supervisor does.
func newFeeds(server *Server) *feeds {
	silence := server.options.EventSilence
	return &feeds{
		server:     server,
		supervisor: newSupervisor("feeds", server.options.Log),
		replicas:   replica.NewEventClient(server.sender, silence),
		stores:     store.NewEventClient(server.sender, silence),
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
func (f *feeds) Serve(ctx context.Context) error {
	ticker := time.NewTicker(f.server.options.ViewInterval)
	defer ticker.Stop()
	for {
		f.reconcile(f.server.options.Source.View())
		f.server.cold.setNodes(f.server.options.Clock(), f.server.options.Peers())
		f.resyncWhereWanted()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// String implements fmt.Stringer for the supervisor's messages.
func (f *feeds) String() string {
	return "feeds"
}

// reconcile starts and stops feeds so that they fit a view.
func (f *feeds) reconcile(view *routing.View) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if view == nil || view == f.view {
		return
	}
	f.view = view
	wanted := f.wanted(view)
	for address, present := range f.running {
		if _, stays := wanted[address]; !stays {
			f.stop(address, present)
		}
	}
	for address, want := range wanted {
		f.ensure(address, want)
	}
	f.server.limiter.retain(view)
	f.server.outdated.retain(view)
	f.server.health.follow(view)
}

// wanted returns the back ends whose events matter under a view.
func (f *feeds) wanted(view *routing.View) map[string]wantedFeed {
	wanted := make(map[string]wantedFeed)
	if f.server.options.Edges.Reports != nil {
		return wanted
	}
	for _, pool := range view.Pools {
		for _, listed := range pool.Replicas {
			wanted[listed.Address] = wantedFeed{source: f.replicas, weightVersion: listed.WeightVersion}
		}
		if address := pool.Store.GetAddress(); address != "" {
			wanted[address] = wantedFeed{source: f.stores}
		}
	}
	return wanted
}

// ensure starts a feed unless it runs, and tells it what control state expects.
func (f *feeds) ensure(address string, want wantedFeed) {
	present, runs := f.running[address]
	if !runs {
		present.feed = &feed{
			address:    address,
			source:     want.source,
			router:     f.server.router,
			quarantine: f.server.quarantine,
			health:     f.server.health.Detector,
			clock:      f.server.options.Clock,
		}
		present.feed.expect(want.weightVersion)
		present.token = f.supervisor.Add(present.feed)
		f.running[address] = present
		return
	}
	present.feed.expect(want.weightVersion)
}

// stop ends the feed of a back end that is not listed any more, and forgets
// all that it has brought.
func (f *feeds) stop(address string, present runningFeed) {
	_ = f.supervisor.RemoveAndWait(present.token, longestReconnect)
	delete(f.running, address)
	f.server.router.Forget(address)
	f.server.quarantine.forget(address)
}

// resyncWhereWanted asks for a reset where events were lost.
func (f *feeds) resyncWhereWanted() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, address := range f.server.router.ResyncNeeded(f.server.options.Clock()) {
		if present, runs := f.running[address]; runs {
			present.feed.resync()
		}
	}
}
