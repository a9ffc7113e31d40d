package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/operator"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/internal/transport"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

const (
	// leaveDelay is how long a stopping node continues to run after it has left the
	// membership, so that its last messages are sent.
	leaveDelay = 200 * time.Millisecond
	// readinessDelay is how long a stopping node still accepts connections after its
	// readiness check fails, so that load balancers can choose other nodes first.
	readinessDelay = time.Second
)

// Node is one node of a deployment. New creates it; after Run has returned, it cannot be
// used again. New sets all fields; only seeds is changed afterwards.
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
	// inbound bounds what the clients of all ports can make the process hold.
	inbound *inbound.Budget
	gossip  *gossipService
	// operators are the listeners for operators and health checks.
	operators []*operator.Server
	health    *health
	commander *commander
	endpoints *endpointLoader
	// seeds are the seeds in use. Only Reload accesses them after New, from one goroutine.
	seeds []string
}

// New builds a node from validated settings and its protocols with external systems. The
// node accepts connections of other nodes at once, and those of callers and operators when
// Run is called.
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

// Run serves until the context ends, and then drains the node and leaves the membership. It
// returns nil after an orderly stop, or the error of a listener that fails.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	// The buffer has room for all listeners, so that their goroutines end without a reader.
	failed := make(chan error, len(n.operators)+1)
	// The supervised loops must run until the drain is complete, after ctx has ended.
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

// supervise starts the supervised loops and returns a channel that is closed when they have
// ended.
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

// logEvent logs an event of the supervisor, such as the end of a supervised loop.
func (n *Node) logEvent(event suture.Event) {
	n.log.WithField("event", event.Map()).Error(event.String())
}

// drain makes the readiness check fail, transfers leadership, waits up to the drain time for
// running requests, leaves the membership and stops the listeners. Leadership is transferred
// first, so that the new leaders command replicas and acknowledge changes while requests
// still finish here. The node leaves the membership only after its requests have finished,
// because until then it confirms which replicas it has drained.
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

// close closes the transport and the data folder if New has opened them.
func (n *Node) close() {
	if n.transport != nil {
		n.transport.Close()
	}
	if n.storage != nil {
		n.storage.close()
	}
}
