package node

import (
	"net/http"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/clock"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/operator"
	"github.com/ridgeswitch/ridgeswitch/internal/metrics"
	"github.com/ridgeswitch/ridgeswitch/internal/transport"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
	"github.com/ridgeswitch/ridgeswitch/pkg/retrybudget"
)

const (
	// maxUnsent is how many attempts that could not be sent do not count among the
	// attempts of a request.
	maxUnsent = 3
	// budgetMargin is how many nodes may have started without this one knowing it, when
	// the slack of the retry budget is divided among the nodes.
	budgetMargin = 2
	// ejectionGrowth is how many times longer than at first a back end that goes on
	// failing is ejected.
	ejectionGrowth = 8
	// percent divides percentages of the settings.
	percent = 100.0
)

// build makes the parts in the order in which they need each other.
func (n *Node) build() error {
	var err error
	n.storage, err = openStorage(n.settings)
	if err != nil {
		return err
	}
	source := &driverSource{}
	if err := n.buildDataplane(source); err != nil {
		return err
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

// buildDataplane makes the server for callers. A node that serves none has it as well,
// and never starts it.
func (n *Node) buildDataplane(source *driverSource) error {
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
	return nil
}

// retryBudget returns this node's part of the retry budget of all nodes.
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

// outlier returns how this node ejects outliers.
func (n *Node) outlier() outlier.Options {
	return outlier.Options{
		Ejection:           n.settings.Ejection(),
		MaxEjection:        ejectionGrowth * n.settings.Ejection(),
		MaxEjectedFraction: float64(n.settings.EjectedPercent) / percent,
	}
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
		server, err := operator.Listen(address, handler)
		if err != nil {
			return err
		}
		n.operators = append(n.operators, server)
	}
	return nil
}

// operatorHandler returns the handler for operators. With another operator protocol,
// the product's own queries are served beside it.
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

// callerServer returns the data plane, or nil on a node that serves no callers.
func (n *Node) callerServer() *dataplane.Server {
	if n.settings.ControlOnly {
		return nil
	}
	return n.dataplane
}
