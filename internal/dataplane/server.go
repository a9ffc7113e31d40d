package dataplane

import (
	"context"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/destinations"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/dispatch"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/duplicates"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/feeds"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/tenantlimiter"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/health"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/listener"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/recorder"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/reports"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/requestid"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/startupgate"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/warmup"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/store"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

// clientName is the name of the HTTP client for back ends in go-zero's metrics.
const clientName = "backends"

// Server serves callers on one address.
type Server struct {
	options       Options
	sender        *outbound.Client
	router        *kvrouter.Router
	ids           *requestid.Generator
	destinations  *destinations.Set
	limiter       *tenantlimiter.Limiter
	duplicates    *duplicates.Register
	dispatcher    *dispatch.Dispatcher
	health        *health.Tracker
	quarantine    *health.Quarantine
	staleBackends *health.StaleBackends
	slowStart     *warmup.Limiter
	feeds         *feeds.Manager
	updates       *gossip.OutgoingUpdates
	snapshots     *gossip.SnapshotExchange
	readers       *reports.Readers
	startupGate   *startupgate.Gate
	chain         chain
	listener      *listener.Listener
	// recorder is nil if requests are not recorded.
	recorder *recorder.Recorder

	// stopped is closed by release.
	stopped  chan struct{}
	stopOnce sync.Once
}

var _ routing.LoadReader = (*Server)(nil)

// New returns a server that is not started.
func New(options Options) (*Server, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	ids, err := requestid.New(options.Node)
	if err != nil {
		return nil, err
	}
	sender := outbound.New(outbound.Options{Name: clientName})
	options.Edges = options.Edges.WithDefaults(sender, options.MaxResponseBytes)
	server := &Server{
		options:      options,
		sender:       sender,
		router:       kvrouter.New(options.Router),
		ids:          ids,
		destinations: destinations.New(options.RetryBudget),
		limiter:      tenantlimiter.NewLimiter(options.Clock, options.Admission),
		duplicates:   duplicates.New(options.RememberedRequests, options.RememberFor),
		health: health.New(health.Options{
			Outlier: options.Outlier, Member: options.Member, Zone: options.Zone, Peers: options.Peers, Log: options.Log,
		}),
		quarantine:    health.NewQuarantine(),
		staleBackends: health.NewStaleBackends(),
		slowStart:     warmup.New(options.Member),
		updates:       gossip.NewOutgoingUpdates(),
		startupGate:   startupgate.New(),
		stopped:       make(chan struct{}),
	}
	sender.LimitConnections(server.ConnectionLimit)
	server.snapshots = gossip.NewSnapshotExchange(options.Member, options.Zone, server.router)
	server.feeds = server.newFeeds()
	server.readers = server.newReaders()
	if server.listener, err = listener.New(listener.Options{
		Address: options.Address, Budget: options.Inbound, Limits: server.callerLimits, Log: options.Log,
	}, server); err != nil {
		return nil, err
	}
	if options.RecordFile != "" {
		if server.recorder, err = recorder.New(recorder.Options{
			Path: options.RecordFile, Node: options.Node, Log: options.Log,
		}); err != nil {
			return nil, err
		}
	}
	server.dispatcher = server.newDispatcher()
	server.chain = server.newChain()
	return server, nil
}

// callerLimits returns the configured limits on callers' requests and connections.
func (s *Server) callerLimits() inbound.PortLimits {
	view := s.options.Source.View()
	if view == nil {
		return inbound.PortLimits{}
	}
	limits := view.Configuration.GetCallerLimits()
	return inbound.PortLimits{
		MaxHeadBytes:  int64(limits.GetMaxHeaderBytes()),
		HeaderTimeout: time.Duration(limits.GetHeaderTimeoutMs()) * time.Millisecond,
		IdleTimeout:   time.Duration(limits.GetIdleTimeoutMs()) * time.Millisecond,
	}
}

// newFeeds returns the feeds that read the event streams of the native protocol. Back ends
// whose reports are read page by page have no event streams.
func (s *Server) newFeeds() *feeds.Manager {
	options := feeds.Options{
		Router: s.router, Quarantine: s.quarantine, Health: s.health.Detector, Clock: s.options.Clock, Log: s.options.Log,
	}
	if s.options.Edges.Reports == nil {
		options.Replicas = replica.NewEventClient(s.sender, s.options.EventTimeout)
		options.Stores = store.NewEventClient(s.sender, s.options.EventTimeout)
	}
	return feeds.New(options)
}

// newReaders returns the readers of reports that are read page by page.
func (s *Server) newReaders() *reports.Readers {
	return reports.New(reports.Options{
		Member:           s.options.Member,
		Peers:            s.options.Peers,
		Source:           s.options.Source,
		Clock:            s.options.Clock,
		Interval:         s.options.ViewInterval,
		Reader:           s.options.Edges.Reports,
		Router:           s.router,
		Quarantine:       s.quarantine,
		AwaitingSnapshot: s.AwaitingSnapshot,
		Publish:          s.publishReport,
		AfterFollow:      s.updateStartupGate,
	})
}

// Start binds the address and serves until Drain or Stop. It returns nil after Drain or Stop,
// and otherwise an error that says why it could not serve.
func (s *Server) Start() error {
	supervisor := suture.New("traffic", suture.Spec{
		EventHook: func(event suture.Event) { s.options.Log.Warn(event.String()) },
	})
	supervisor.Add(s.feeds.Supervisor())
	supervisor.Add(&viewReconciler{server: s})
	if s.options.Edges.Reports != nil {
		supervisor.Add(s.readers)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-s.stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	ended := supervisor.ServeBackground(ctx)
	err := s.listener.Serve()
	cancel()
	<-ended //nolint:errcheck // the supervisor ends with ctx alone
	return err
}

// Listening returns a channel that is closed when the address is bound.
func (s *Server) Listening() <-chan struct{} {
	return s.listener.Listening()
}

// Address returns the address that the server listens on, or "" before it is bound.
func (s *Server) Address() string {
	return s.listener.Address()
}

// Drain stops accepting connections and returns when the running requests have ended, or with
// an error when ctx ends first; then the caller must call Stop. Before Drain is called, the node
// must have reported itself as not ready for long enough that load balancers send it no new
// requests.
func (s *Server) Drain(ctx context.Context) error {
	err := s.listener.Shutdown(ctx)
	if err == nil {
		s.release()
	}
	return err
}

// Stop closes all connections at once, which aborts running requests.
func (s *Server) Stop() {
	s.listener.Close()
	s.release()
}

// release frees the resources of a stopped server.
func (s *Server) release() {
	s.stopOnce.Do(func() {
		close(s.stopped)
		s.sender.CloseIdle()
		if s.recorder != nil {
			s.recorder.Close()
		}
	})
}

// InFlight returns how many attempts run on a back end through this node.
func (s *Server) InFlight(address string) int {
	return s.dispatcher.InFlight(address)
}

// Stats returns the counters of every destination to which a request was routed.
func (s *Server) Stats() []DestinationStats {
	now := s.options.Clock()
	stats := s.destinations.Stats()
	for i := range stats {
		stats[i].AddHealth(s.health.DestinationStats(now, stats[i].Name, stats[i].WebService))
	}
	return stats
}

// RecordStats returns the counters of the recorder, which are zero if requests are not
// recorded.
func (s *Server) RecordStats() recorder.Stats {
	if s.recorder == nil {
		return recorder.Stats{}
	}
	return s.recorder.Stats()
}
