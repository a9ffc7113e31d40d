package fleet

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/links"
)

// Times for the start and the stop of a fleet.
const (
	// startTimeout bounds the wait for one process to answer its probe.
	startTimeout = 20 * time.Second
	// pollEvery is how often a starting process is polled.
	pollEvery = 50 * time.Millisecond
	// stopTimeout is how long a process may take to exit after SIGTERM before it is killed.
	stopTimeout = 5 * time.Second
)

// Paths of a node's health checks.
const (
	livePath  = "/healthz/live"
	readyPath = "/healthz/ready"
)

// Options say how to run a fleet.
type Options struct {
	Topology *Topology
	// NodeBinary is the program of the nodes, LabBinary that of the stand-ins.
	NodeBinary string
	LabBinary  string
	// Folder is where settings, data and logs are written.
	Folder string
	// Network relays the traffic between nodes. If it is nil, nodes connect to each
	// other directly.
	Network *links.Network
	// TimeScale is the factor by which replicas compute faster than a real machine.
	TimeScale float64
	Seed      uint64
	Clock     *Clock
	Log       *logrus.Entry
}

// Fleet is a running deployment.
type Fleet struct {
	options Options
	probe   *http.Client
	// topology is replaced as a whole when machines change.
	topology atomic.Pointer[Topology]

	processes  *processTable
	claimed    net.Listener
	forwarders []*links.Forwarder
}

// New returns a fleet whose processes have not been started.
func New(options Options) *Fleet {
	fleet := &Fleet{options: options, probe: &http.Client{Timeout: time.Second}, processes: &processTable{folder: options.Folder}}
	fleet.topology.Store(options.Topology)
	return fleet
}

// Topology returns the current topology. The caller must not modify it.
func (fleet *Fleet) Topology() *Topology { return fleet.topology.Load() }

// Start starts every process and waits until all of them answer. Nodes are then live,
// but serve no requests until they have a configuration. The caller
// stops the fleet whether or not Start succeeds.
func (fleet *Fleet) Start(ctx context.Context) error {
	claimed, err := claim(fleet.options.Topology)
	if err != nil {
		return err
	}
	fleet.claimed = claimed
	if err := writeServices(fleet.options.Topology, fleet.options.Folder); err != nil {
		return err
	}
	for _, standIn := range standIns(fleet.options) {
		if _, err := fleet.processes.launch(KindStandIn, standIn.name, fleet.options.LabBinary, standIn.arguments...); err != nil {
			return err
		}
	}
	for _, standIn := range standIns(fleet.options) {
		if err := fleet.await(ctx, standIn.name, standIn.probe); err != nil {
			return err
		}
	}
	if err := fleet.forward(ctx); err != nil {
		return err
	}
	if err := fleet.initialise(ctx); err != nil {
		return err
	}
	for _, node := range fleet.Topology().Nodes {
		if err := fleet.StartNode(node); err != nil {
			return err
		}
	}
	return fleet.awaitNodes(ctx, livePath)
}

// initialise runs the init command for each node with a disk. The command marks the
// empty data folder as that of a founding member, as operators do when they set up a
// new deployment.
func (fleet *Fleet) initialise(ctx context.Context) error {
	for _, node := range fleet.Topology().Nodes {
		if !node.Disk {
			continue
		}
		path, err := fleet.writeSettings(node)
		if err != nil {
			return err
		}
		process, err := fleet.processes.launch(KindTool, node.Name+"-init", fleet.options.NodeBinary, "init", "--settings", path)
		if err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-process.Done():
		}
		if process.Err() != nil {
			return errors.Wrapf(process.Err(), "initialise %s", node.Name)
		}
	}
	return nil
}

// forward starts a relay at the internal address that each node advertises to the others.
func (fleet *Fleet) forward(ctx context.Context) error {
	if fleet.options.Network == nil {
		return nil
	}
	for _, node := range fleet.Topology().Nodes {
		forwarder, err := fleet.options.Network.Forward(ctx, node.InternalAddress(), node.listenAddress())
		if err != nil {
			return err
		}
		fleet.forwarders = append(fleet.forwarders, forwarder)
	}
	return nil
}

// StartNode starts a node, or starts it again with its existing data folder.
func (fleet *Fleet) StartNode(node Node) error {
	path, err := fleet.writeSettings(node)
	if err != nil {
		return err
	}
	_, err = fleet.processes.launch(KindNode, node.Name, fleet.options.NodeBinary, "node", "--settings", path)
	return err
}

// AwaitReady waits until every running node is ready.
func (fleet *Fleet) AwaitReady(ctx context.Context) error {
	return fleet.awaitNodes(ctx, readyPath)
}

func (fleet *Fleet) awaitNodes(ctx context.Context, path string) error {
	for _, node := range fleet.Topology().Nodes {
		if fleet.processes.running(node.Name) == nil {
			continue
		}
		if err := fleet.await(ctx, node.Name, "http://"+node.ControlAddress()+path); err != nil {
			return err
		}
	}
	return nil
}

// await polls a URL of a process until it answers with status 200, the process has ended
// or startTimeout has passed.
func (fleet *Fleet) await(ctx context.Context, name, url string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !fleet.responds(ctx, url) {
		process := fleet.processes.running(name)
		if process == nil {
			return errors.Errorf("%s ended while it started; see %s.log in %s", name, name, fleet.options.Folder)
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%s did not answer %s with status 200 in time; see %s.log in %s", name, url, name, fleet.options.Folder)
		case <-process.Done():
		case <-ticker.C:
		}
	}
	return nil
}

func (fleet *Fleet) responds(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := fleet.probe.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Stop ends every process, nodes first. It returns the names of nodes that had to
// be killed.
func (fleet *Fleet) Stop() []string {
	late := fleet.processes.stop()
	for _, forwarder := range fleet.forwarders {
		forwarder.Close()
	}
	fleet.probe.CloseIdleConnections()
	if fleet.claimed != nil {
		_ = fleet.claimed.Close()
	}
	return late
}

// NodeRuns returns every run of every node's process.
func (fleet *Fleet) NodeRuns() []checker.NodeRun {
	return fleet.processes.nodeRuns(fleet.options.Clock)
}
