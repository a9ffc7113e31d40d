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

// Node is one running node. New makes it, and Run ends it.
type Node struct {
	settings  *static.Settings
	edges     Edges
	log       *logrus.Entry
	storage   *storage
	transport *transport.Transport
	driver    *driver.Driver
	dataplane *dataplane.Server
	gossip    *gossipService
	operators []*operator.Server
	health    *health
	commander *commander
	endpoints *endpointLoader
	// seeds are those in use, see Reload.
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

// Run serves until the context ends; then it drains and leaves. It returns nil
// after an orderly stop.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	background, stop := context.WithCancel(context.Background())
	defer stop()
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

func (n *Node) logEvent(event suture.Event) {
	n.log.WithField("event", event.Map()).Error(event.String())
}

// drain turns readiness off, hands control over, lets running requests finish
// and ends within the drain time.
func (n *Node) drain() {
	n.health.draining.Store(true)
	n.driver.TransferLeadership()
	time.Sleep(min(readinessDelay, n.settings.DrainTimeout()/2))
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout())
	defer cancel()
	if err := n.drainCallers(ctx); err != nil {
		n.log.WithError(err).Warn("requests were still running when the drain time ended")
	}
	n.driver.Leave()
	time.Sleep(leaveDelay)
	n.dataplane.Stop()
	for _, server := range n.operators {
		server.Stop()
	}
}

// drainCallers lets running requests finish.
func (n *Node) drainCallers(ctx context.Context) error {
	if n.settings.ControlOnly {
		return nil
	}
	return n.dataplane.Drain(ctx)
}

// close releases what New took.
func (n *Node) close() {
	if n.transport != nil {
		n.transport.Close()
	}
	if n.storage != nil {
		n.storage.close()
	}
}
