package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"google.golang.org/protobuf/encoding/protojson"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// Names of the files in a deployment's folder.
const (
	topologyFile      = "topology.json"
	configurationFile = "configuration.json"
)

// Topology says which machines a deployment has.
type Topology struct {
	Name string `json:"name"`
	// Nodes with Disk store control state; the others route and relay.
	Nodes []Node `json:"nodes"`
	// Group names the nodes with disks in the agreed order.
	Group []string `json:"group"`
	// Seeds names up to three nodes through which other nodes find the deployment.
	Seeds       []string     `json:"seeds"`
	Replicas    ReplicaGroup `json:"replicas"`
	Store       Backend      `json:"store"`
	WebServices []WebGroup   `json:"web_services"`
	Platform    Platform     `json:"platform"`
	Links       Links        `json:"links"`
}

// Node is one machine that runs ridgeswitch.
type Node struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address is the machine's IP address.
	Address string `json:"address"`
	Disk    bool   `json:"disk,omitempty"`
}

// Backend is one machine behind the nodes.
type Backend struct {
	// Address is an IP address and port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// ReplicaGroup is a pool's set of model replicas.
type ReplicaGroup struct {
	Service string `json:"service"`
	Pool    string `json:"pool"`
	// MachineClass is "large" or "smaller", according to the memory for cached chunks.
	MachineClass  string    `json:"machine_class"`
	WeightVersion string    `json:"weight_version"`
	Members       []Backend `json:"members"`
}

// WebGroup is the set of back ends of a web service.
type WebGroup struct {
	Service string    `json:"service"`
	Members []Backend `json:"members"`
	// FetchesPerSecond is the current load in requests per second.
	FetchesPerSecond float64 `json:"fetches_per_second"`
}

// Platform is the machine that lists replicas.
type Platform struct {
	Address string `json:"address"`
}

// Links describe the network between zones.
type Links struct {
	CrossZoneLatencyMicroseconds uint32  `json:"cross_zone_latency_microseconds"`
	CrossZoneBytesPerSecond      float64 `json:"cross_zone_bytes_per_second"`
}

// Deployment is a topology with the configuration it starts with.
type Deployment struct {
	Topology      *Topology
	Configuration *ridgeswitchv1.Configuration
}

// LoadDeployment reads the files of a deployment's folder.
func LoadDeployment(folder string) (*Deployment, error) {
	topology, err := loadTopology(filepath.Join(folder, topologyFile))
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(filepath.Join(folder, configurationFile))
	if err != nil {
		return nil, errors.Wrap(err, "read the deployment's configuration")
	}
	configuration := &ridgeswitchv1.Configuration{}
	if err := protojson.Unmarshal(data, configuration); err != nil {
		return nil, errors.Wrapf(err, "parse %s", configurationFile)
	}
	return &Deployment{Topology: topology, Configuration: configuration}, nil
}

func loadTopology(path string) (*Topology, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the deployment's topology")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	topology := &Topology{}
	if err := decoder.Decode(topology); err != nil {
		return nil, errors.Wrapf(err, "parse %s", path)
	}
	return topology, topology.Check()
}

// Check returns an error for the first name that is unknown or listed twice, for a group
// member without a disk, or for an address that is given twice.
func (topology *Topology) Check() error {
	disks := make(map[string]bool)
	for _, node := range topology.Nodes {
		if _, twice := disks[node.Name]; twice {
			return errors.Errorf("topology: node %q is listed twice", node.Name)
		}
		disks[node.Name] = node.Disk
	}
	for _, name := range topology.Group {
		if !disks[name] {
			return errors.Errorf("topology: group member %q is not a node with a disk", name)
		}
	}
	for _, name := range topology.Seeds {
		if _, known := disks[name]; !known {
			return errors.Errorf("topology: seed %q is not a node", name)
		}
	}
	return topology.checkAddresses()
}

func (topology *Topology) checkAddresses() error {
	seen := make(map[string]bool)
	for _, address := range topology.addresses() {
		if seen[address] {
			return errors.Errorf("topology: address %s is given twice", address)
		}
		seen[address] = true
	}
	return nil
}

func (topology *Topology) addresses() []string {
	addresses := []string{topology.Store.Address, topology.Platform.Address}
	for _, node := range topology.Nodes {
		addresses = append(addresses, node.Address)
	}
	for _, backend := range topology.Backends() {
		addresses = append(addresses, backend.Address)
	}
	return addresses
}

// Backends returns all replicas and web service back ends.
func (topology *Topology) Backends() []Backend {
	backends := append([]Backend(nil), topology.Replicas.Members...)
	for _, group := range topology.WebServices {
		backends = append(backends, group.Members...)
	}
	return backends
}

// Node returns the node with the name, or false if there is none.
func (topology *Topology) Node(name string) (Node, bool) {
	for _, node := range topology.Nodes {
		if node.Name == name {
			return node, true
		}
	}
	return Node{}, false
}

// Front returns the nodes without a disk.
func (topology *Topology) Front() []Node {
	var front []Node
	for _, node := range topology.Nodes {
		if !node.Disk {
			front = append(front, node)
		}
	}
	return front
}

// Ports of a node. They are the same for all nodes, because each has its own IP address.
const (
	internalPort = 7100
	// listenPort is where a node receives the traffic that a relay at internalPort forwards.
	listenPort  = 7101
	trafficPort = 7200
	controlPort = 7300
)

// InternalAddress returns the address at which other nodes reach the node.
func (node Node) InternalAddress() string { return withPort(node.Address, internalPort) }

// listenAddress returns the address at which the node listens when it is behind a relay.
func (node Node) listenAddress() string { return withPort(node.Address, listenPort) }

// TrafficAddress returns the address at which callers reach the node.
func (node Node) TrafficAddress() string { return withPort(node.Address, trafficPort) }

// ControlAddress returns the address at which operators and readiness checks reach the node.
func (node Node) ControlAddress() string { return withPort(node.Address, controlPort) }

func withPort(address string, port int) string {
	return fmt.Sprintf("%s:%d", address, port)
}

// Zones returns the distinct zones of the nodes, in the order of the nodes.
func (topology *Topology) Zones() []string {
	return lo.Uniq(lo.Map(topology.Nodes, func(node Node, _ int) string { return node.Zone }))
}
