package node

import (
	"net/http"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/clock"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/operator"
	"github.com/ridgeswitch/ridgeswitch/internal/metrics"
	"github.com/ridgeswitch/ridgeswitch/internal/transport"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
	"github.com/ridgeswitch/ridgeswitch/pkg/retrybudget"
)

const (
	// maxUnsent is how many attempts that could not be sent are not counted as
	// attempts of a request.
	maxUnsent = 3
	// budgetMargin is how many additional live nodes, which this node may not know of yet,
	// are counted when the slack of the retry budget is divided among the nodes.
	budgetMargin = 2
	// maxEjectionFactor is the longest ejection of a back end that keeps failing, as a
	// multiple of its first ejection.
	maxEjectionFactor = 8
	// percent divides percentages from the settings to give fractions.
	percent = 100.0
)

// build creates the components in the order of their dependencies: storage, data plane,
// gossip, control machine, transport and driver, and the operators' listeners. Components
// that are created before the driver and depend on it (driverSource, health, commander,
// gossip, endpoints, frameReceiver) get it once it is built. Of these, only frameReceiver
// may be called before that; it drops the frames.
func (n *Node) build() error {
	var err error
	n.storage, err = openStorage(n.settings)
	if err != nil {
		return err
	}
	n.inbound = inbound.NewBudget(inbound.LimitsOf(inbound.Machine{
		MemoryBytes: n.settings.MemoryBytes(), Descriptors: n.settings.OpenFiles,
	}))
	source := &driverSource{}
	if err := n.buildDataplane(source); err != nil {
		return err
	}
	n.gossip = newGossipService(member.ID(n.settings.MemberID()), n.settings.Zone, n.callerServer())
	config := controlConfig(n.settings, n.storage)
	config.ReplicasFinishFirst = n.edges.ReplicasFinishFirst
	machine, err := control.New(config, n.storage.restored, n.dataplane, clock.SinceBoot())
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

// buildDataplane creates the server for callers. A node that serves no callers has this
// server too, but never starts it.
func (n *Node) buildDataplane(source *driverSource) error {
	live := func() int { return max(1, len(source.peers())) }
	var err error
	n.dataplane, err = dataplane.New(dataplane.Options{
		Node:         n.settings.Node,
		Member:       member.ID(n.settings.MemberID()),
		Zone:         n.settings.Zone,
		Peers:        source.peers,
		Address:      n.settings.Traffic,
		Source:       source,
		Clock:        clock.SinceBoot,
		Log:          n.log.WithField("component", "dataplane"),
		Inbound:      n.inbound,
		Router:       routerOptions(n.settings.MemoryBytes()),
		RecordFile:   n.settings.RecordFile,
		Edges:        n.edges.Dataplane,
		MaxUnsent:    maxUnsent,
		BackendRetry: n.settings.BackendRetry(),
		RetryBudget: retrybudget.Options{
			Ratio:         float64(n.settings.RetryPercent) / percent,
			Window:        n.settings.RetryWindow(),
			Slack:         float64(n.settings.RetrySlack),
			SlackFraction: retrybudget.FleetSlackFraction(live, budgetMargin),
			StartedAt:     clock.SinceBoot(),
		},
		Outlier: outlier.Options{
			Ejection:           n.settings.Ejection(),
			MaxEjection:        maxEjectionFactor * n.settings.Ejection(),
			MaxEjectedFraction: float64(n.settings.EjectedPercent) / percent,
		},
	})
	if err != nil {
		return err
	}
	if n.edges.LimitConnections != nil {
		n.edges.LimitConnections(n.dataplane.ConnectionLimit)
	}
	return nil
}

// buildDriver connects the control machine to the network, the disk and the
// replicas.
func (n *Node) buildDriver(machine *control.Machine) error {
	n.commander = newCommander(n.edges.Replicas, n.log.WithField("component", "commander"))
	n.endpoints = &endpointLoader{reader: n.edges.Endpoints, log: n.log.WithField("component", "endpoints")}
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

// buildOperators listens for operators and health checks.
func (n *Node) buildOperators() error {
	handler, err := n.operatorHandler()
	if err != nil {
		return err
	}
	for _, address := range lo.Uniq(lo.Compact([]string{n.settings.Control, n.edges.ReadyAddress})) {
		server, err := operator.Listen(address, n.inbound, handler)
		if err != nil {
			return err
		}
		n.operators = append(n.operators, server)
	}
	return nil
}

// operatorHandler returns the handler for operators: the handler of the product's own
// protocol or, if Edges.Operator is set, the handler that it returns with the product's
// queries added.
func (n *Node) operatorHandler() (http.Handler, error) {
	metricsHandler, err := metrics.NewHandler(n.driver, n.dataplane, n.transport, n.inbound)
	if err != nil {
		return nil, err
	}
	native, err := operator.NewHandler(n.driver, n.health, operator.WithMetrics(metricsHandler))
	if err != nil || n.edges.Operator == nil {
		return native, err
	}
	return operator.WithQueries(n.edges.Operator(n), native), nil
}

// callerServer returns the data plane, or nil on a node that serves no callers.
func (n *Node) callerServer() *dataplane.Server {
	if n.settings.ControlOnly {
		return nil
	}
	return n.dataplane
}
