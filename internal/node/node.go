package node

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/ridgeswitch/ridgeswitch/internal/clock"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/operator"
	"github.com/ridgeswitch/ridgeswitch/internal/metrics"
	"github.com/ridgeswitch/ridgeswitch/internal/transport"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
	"github.com/ridgeswitch/ridgeswitch/pkg/retrybudget"
)

// leaveDelay is how long a stopping node goes on sending after it has handed its
// shards over, so that the messages leave.
const leaveDelay = 200 * time.Millisecond

// readinessDelay is how long a stopping node still takes connections after its
// readiness is off, so that whoever polls it can send new ones elsewhere first.
const readinessDelay = time.Second

// Node is one running node.
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
	// seeds are those in use.
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

// build makes the parts in the order in which they need each other.
func (n *Node) build() error {
	var err error
	n.storage, err = openStorage(n.settings)
	if err != nil {
		return err
	}
	source := &driverSource{}
	n.dataplane, err = dataplane.New(dataplane.Options{
		Node:         n.settings.Node,
		Member:       member.ID(n.settings.MemberID()),
		Zone:         n.settings.Zone,
		Peers:        source.peers,
		Address:      n.settings.Traffic,
		Source:       source,
		Clock:        clock.SinceBoot,
		Log:          n.log.WithField("component", "dataplane"),
		DrainTimeout: n.settings.DrainTimeout(),
		RecordFile:   n.settings.RecordFile,
		Edges:        n.edges.Dataplane,
		RetryBudget:  n.retryBudget(source),
		MaxUnsent:    maxUnsent,
		BackendRetry: n.settings.BackendRetry(),
		Outlier:      n.outlier(),
	})
	if err != nil {
		return err
	}
	if n.edges.LimitConnections != nil {
		n.edges.LimitConnections(n.dataplane.ConnectionLimit)
	}
	n.gossip = newGossipService(member.ID(n.settings.MemberID()), n.settings.Zone, n.callerServer())
	machine, err := control.New(n.controlConfig(), n.storage.restored, n.dataplane, clock.SinceBoot())
	if err != nil {
		return err
	}
	if err := n.buildDriver(machine); err != nil {
		return err
	}
	source.driver = n.driver
	n.health.driver = n.driver
	n.health.dataplane = n.callerServer()
	return n.buildOperators()
}

const (
	// maxUnsent is how many attempts that could not be sent do not count among a
	// request's attempts.
	maxUnsent = 3
	// budgetMargin is how many nodes may have started without this one knowing
	// it, when the fleet's retries are divided.
	budgetMargin = 2
	// percent is what shares in the settings are given in.
	percent = 100.0
)

// retryBudget is this node's part of the fleet's retries.
func (n *Node) retryBudget(source *driverSource) retrybudget.Options {
	live := func() int { return max(1, len(source.peers())) }
	return retrybudget.Options{
		Ratio:         float64(n.settings.RetryPercent) / percent,
		Window:        n.settings.RetryWindow(),
		Slack:         float64(n.settings.RetrySlack),
		SlackFraction: retrybudget.FleetSlackFraction(live, budgetMargin),
		StartedAt:     clock.SinceBoot(),
	}
}

// ejectionGrowth is how many times longer than at first a back end that goes on
// failing is left out.
const ejectionGrowth = 8

// outlier is how this node leaves out back ends that fail.
func (n *Node) outlier() outlier.Options {
	return outlier.Options{
		Ejection:           n.settings.Ejection(),
		MaxEjection:        ejectionGrowth * n.settings.Ejection(),
		MaxEjectedFraction: float64(n.settings.EjectedPercent) / percent,
	}
}

// callerServer is what serves callers, or nil on a node that serves none.
func (n *Node) callerServer() *dataplane.Server {
	if n.settings.ControlOnly {
		return nil
	}
	return n.dataplane
}

// buildOperators listens for operators and for whoever asks for the node's
// health.
func (n *Node) buildOperators() error {
	handler, err := n.operatorHandler()
	if err != nil {
		return err
	}
	for _, address := range lo.Uniq(lo.Compact([]string{n.settings.Control, n.edges.ReadyAddress})) {
		server, err := operator.Listen(address, handler)
		if err != nil {
			return err
		}
		n.operators = append(n.operators, server)
	}
	return nil
}

// operatorHandler returns what serves operators. Beside another operator protocol, the
// product's own questions are answered.
func (n *Node) operatorHandler() (http.Handler, error) {
	metricsHandler, err := metrics.NewHandler(n.driver, n.dataplane, n.transport)
	if err != nil {
		return nil, err
	}
	native, err := operator.NewHandler(n.driver, n.health, operator.WithMetrics(metricsHandler))
	if err != nil || n.edges.Operator == nil {
		return native, err
	}
	return operator.WithQueries(n.edges.Operator(n), native), nil
}

// buildDriver connects the control machine to the network, the disk and the
// replicas.
func (n *Node) buildDriver(machine *control.Machine) error {
	n.commander = newCommander(n.edges.Replicas, n.log.WithField("component", "commander"))
	n.endpoints = &endpointLoader{reader: n.edges.Endpoints, log: n.log.WithField("component", "lists")}
	frames := &frameReceiver{}
	listening, err := transport.Listen(n.settings.InternalListener(), frames.receive, transport.Options{})
	if err != nil {
		return err
	}
	n.transport = listening
	n.driver = driver.New(machine, driver.Options{
		TickEvery:  n.settings.TickEvery(),
		Deployment: n.settings.Deployment,
		Clock:      clock.SinceBoot,
		Sender:     listening,
		Storage:    n.storage.shards(),
		Commander:  n.commander,
		Traffic:    n.gossip,
		Endpoints:  n.endpoints,
		Log:        n.log.WithField("component", "control"),
	})
	n.commander.driver = n.driver
	n.gossip.driver = n.driver
	n.endpoints.driver = n.driver
	frames.driver.Store(n.driver)
	return nil
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
		go func() { failed <- errors.Wrap(n.dataplane.Start(), "callers' listener") }()
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
