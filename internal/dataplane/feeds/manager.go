// Package feeds reads the event streams in which back ends report the chunks that they cache,
// and applies the events to the router's prefix index.
//
// A Manager reads the event streams of replicas and stores. It owns one feed for each back
// end that the newest view lists. Each feed runs in a goroutine of the Manager's supervisor,
// and reconnects and resynchronizes by itself. The Manager's methods may be called
// concurrently.
//
// The events of a back end are numbered within its incarnation. A reset is an event that
// contains all chunks that the back end caches. A feed opens its stream after the last event
// that it has received; if events are missing, it reopens the stream from a reset.
package feeds

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/health"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
)

// Options configure a Manager.
type Options struct {
	// Replicas and Stores open the event streams of replicas and stores. Replicas is nil if
	// back ends push no events; no feed is started then.
	Replicas, Stores Source
	// Router receives the chunks and the load reports.
	Router *kvrouter.Router
	// Quarantine receives the weight versions that replicas report.
	Quarantine *health.Quarantine
	// Health records that a back end is alive whenever it sends an event.
	Health *outlier.Detector
	// Clock returns the time elapsed on a clock that counts suspended time.
	Clock func() time.Duration
	// Log receives the messages of the supervisor.
	Log *logrus.Entry
}

// runningFeed is a feed under the supervisor.
type runningFeed struct {
	eventFeed *eventFeed
	token     suture.ServiceToken
}

// feedSpec is a feed that a view requires.
type feedSpec struct {
	source        Source
	weightVersion string
}

// Manager keeps one feed running for every replica and store of a view.
type Manager struct {
	options    Options
	supervisor *suture.Supervisor

	mutex   sync.Mutex
	running map[string]runningFeed // by address
}

// New returns a Manager without feeds. Feeds run only while its Supervisor is running.
func New(options Options) *Manager {
	return &Manager{
		options: options,
		supervisor: suture.New("feeds", suture.Spec{
			EventHook: func(event suture.Event) { options.Log.Warn(event.String()) },
		}),
		running: make(map[string]runningFeed),
	}
}

// Supervisor returns the supervisor of the feeds, which the caller must run.
func (m *Manager) Supervisor() *suture.Supervisor { return m.supervisor }

// Reconcile starts and stops feeds so that they match a view, and updates the expected weight
// versions of the feeds that remain.
func (m *Manager) Reconcile(view *routing.View) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	desired := m.desiredFeeds(view)
	for address, feed := range m.running {
		if _, found := desired[address]; !found {
			m.stop(address, feed)
		}
	}
	for address, spec := range desired {
		m.ensure(address, spec)
	}
}

// ResyncAfterGaps resynchronizes the feeds of the back ends from which the router has missed
// events.
func (m *Manager) ResyncAfterGaps() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, address := range m.options.Router.ResyncNeeded(m.options.Clock()) {
		if feed, runs := m.running[address]; runs {
			feed.eventFeed.resync()
		}
	}
}

// desiredFeeds returns the feeds that a view requires, by address.
func (m *Manager) desiredFeeds(view *routing.View) map[string]feedSpec {
	desired := make(map[string]feedSpec)
	if m.options.Replicas == nil {
		return desired
	}
	for _, pool := range view.Pools {
		for _, replica := range pool.Replicas {
			desired[replica.Address] = feedSpec{source: m.options.Replicas, weightVersion: replica.WeightVersion}
		}
		if address := pool.Store.GetAddress(); address != "" {
			desired[address] = feedSpec{source: m.options.Stores}
		}
	}
	return desired
}

// ensure starts a feed unless it is running, and sets its expected weight version.
func (m *Manager) ensure(address string, spec feedSpec) {
	feed, runs := m.running[address]
	if runs {
		feed.eventFeed.setExpectedVersion(spec.weightVersion)
		return
	}
	feed.eventFeed = &eventFeed{
		address:    address,
		source:     spec.source,
		router:     m.options.Router,
		quarantine: m.options.Quarantine,
		health:     m.options.Health,
		clock:      m.options.Clock,
	}
	feed.eventFeed.setExpectedVersion(spec.weightVersion)
	feed.token = m.supervisor.Add(feed.eventFeed)
	m.running[address] = feed
}

// stop ends the feed of a back end that is no longer listed, and removes the back end's data
// from the router and the quarantine.
func (m *Manager) stop(address string, feed runningFeed) {
	_ = m.supervisor.RemoveAndWait(feed.token, maxReconnectDelay)
	delete(m.running, address)
	m.options.Router.Forget(address)
	m.options.Quarantine.Forget(address)
}
