package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/operator"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/internal/transport"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

const (
	// leaveDelay is how long a stopping node goes on sending after it has left, so that
	// its last messages are sent.
	leaveDelay = 200 * time.Millisecond
	// readinessDelay is how long a stopping node still accepts connections after its
	// readiness check fails, so that load balancers can choose other nodes first.
	readinessDelay = time.Second
)

// Node is one running node. New makes it, and Run ends it. Its fields are set by New and
// not changed afterwards, but for seeds.
type Node struct {
	settings *static.Settings
	edges    Edges
	log      *logrus.Entry
	storage  *storage
	// transport carries frames to and from other nodes.
	transport *transport.Transport
	// driver runs the control machine.
	driver    *driver.Driver
	dataplane *dataplane.Server
	gossip    *gossipService
	// operators are the listeners for operators and health checks.
	operators []*operator.Server
	health    *health
	commander *commander
	endpoints *endpointLoader
	// seeds are those in use. Only Reload uses them, in one goroutine.
	seeds []string
}

// New builds a node from checked settings and the protocols that it speaks. It
// listens for other nodes at once, and for callers and operators when Run is
// called.
func New(settings *static.Settings, edges Edges, log *logrus.Entry) (*Node, error) {
	node := &Node{settings: settings, log: log, health: &health{}, seeds: settings.Seeds}
	node.edges = edges.withDefaults(settings.PlatformAddress, node.view)
	if err := node.build(); err != nil {
		node.close()
		return nil, err
	}
	return node, nil
}

// Control returns the control state of the node.
func (n *Node) Control() *driver.Driver { return n.driver }

// Ready returns nil while new connections may be sent to the node.
func (n *Node) Ready() error { return n.health.Ready() }

// view returns the routing view of the node, or nil before the driver is built.
func (n *Node) view() *routing.View {
	if n.driver == nil {
		return nil
	}
	return n.driver.View()
}

// Run serves until the context ends; then it drains and leaves. It returns nil after an
// orderly stop, and the error of a listener that fails.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	// Buffered for all listeners, so that their goroutines end without a reader.
	failed := make(chan error, len(n.operators)+1)
	// What is supervised outlives ctx: it has to drain.
	finished := n.supervise(background) //nolint:contextcheck // see above
	for _, server := range n.operators {
		go func() { failed <- errors.Wrap(server.Start(), "operators' listener") }()
	}
	if !n.settings.ControlOnly {
		go func() { failed <- errors.Wrap(n.dataplane.Start(), "callers' listener") }() //nolint:contextcheck // drain ends the data plane
	}
	select {
	case err := <-failed:
		stop()
		<-finished
		return err
	case <-ctx.Done():
	}
	n.drain() //nolint:contextcheck // the drain has a time of its own, see DrainTimeout
	stop()
	<-finished
	return nil
}

// supervise starts the supervised loops and returns a channel that closes when
// they have ended.
func (n *Node) supervise(ctx context.Context) <-chan struct{} {
	supervisor := suture.New("node "+n.settings.Node, suture.Spec{EventHook: n.logEvent})
	supervisor.Add(&controlService{driver: n.driver})
	supervisor.Add(&heapGrowth{percent: n.settings.HeapGrowthPercent, driver: n.driver})
	if n.storage.disk != nil && n.settings.Seeded() {
		supervisor.Add(&addressService{storage: n.storage, driver: n.driver, log: n.log})
	}
	supervisor.Add(n.gossip)
	finished := make(chan struct{})
	ended := supervisor.ServeBackground(ctx)
	go func() {
		<-ended //nolint:errcheck // logEvent has logged why the loops ended
		close(finished)
	}()
	return finished
}

// logEvent logs that a supervised loop has ended.
func (n *Node) logEvent(event suture.Event) {
	n.log.WithField("event", event.Map()).Error(event.String())
}

// drain turns readiness off, transfers leadership, waits up to the drain time for running
// requests, leaves the membership and stops the listeners. Leadership goes first, so that
// its new owners command replicas and acknowledge changes while requests still finish here.
// The node leaves only after its requests: until then it confirms which replicas it has
// drained.
func (n *Node) drain() {
	n.health.draining.Store(true)
	n.driver.TransferLeadership()
	time.Sleep(min(readinessDelay, n.settings.DrainTimeout()/2))
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout())
	defer cancel()
	if !n.settings.ControlOnly {
		if err := n.dataplane.Drain(ctx); err != nil {
			n.log.WithError(err).Warn("requests were still running when the drain time ended")
		}
	}
	n.driver.Leave()
	time.Sleep(leaveDelay)
	n.dataplane.Stop()
	for _, server := range n.operators {
		server.Stop()
	}
}

// close closes the transport and the data folder, as far as New opened them.
func (n *Node) close() {
	if n.transport != nil {
		n.transport.Close()
	}
	if n.storage != nil {
		n.storage.close()
	}
}
