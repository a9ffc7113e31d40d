package hollow

import (
	"fmt"
	"net"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// seedCount is how many nodes others join through.
const seedCount = 3

// Ports of each node. With a transport for each node, its internal port is a free one.
const (
	internalPort = "7100"
	trafficPort  = "7200"
	controlPort  = "7300"
)

// topology is the layout of a deployment: addresses, zones, the group and the list of
// replicas. The first nodes hold state. It never changes.
type topology struct {
	settings Settings
	// addresses are the internal addresses of the nodes.
	addresses []string
	// group are the nodes that hold state.
	group []member.ID
	// endpoints is what the platform lists. Nodes only read it.
	endpoints []control.ServiceEndpoints
}

func newTopology(settings Settings, addresses []string) *topology {
	layout := &topology{settings: settings, addresses: addresses}
	for number := range settings.Core {
		layout.group = append(layout.group, member.ID(nodeName(number)))
	}
	layout.endpoints = platformEndpoints(settings)
	return layout
}

func zoneName(number int) string { return fmt.Sprintf("zone-%d", number+1) }

// zoneOf spreads nodes and replicas over the zones in turn.
func (s Settings) zoneOf(number int) int { return number % s.Zones }

// hostOf returns the host of a node: an IP number of its own on the loopback. The third
// byte tells the zone, of which there are 64 at the most, and every 250 nodes of it.
func (s Settings) hostOf(number int) string {
	within := number / s.Zones
	return fmt.Sprintf("127.9.%d.%d", 1+s.zoneOf(number)+64*(within/250), 1+within%250)
}

// info describes a node to the others.
func (t *topology) info(number int, incarnation member.Incarnation) member.Info {
	host := t.settings.hostOf(number)
	id := member.ID(nodeName(number))
	if t.settings.SimultaneousStart {
		id = member.ID(t.addresses[number])
	}
	return member.Info{
		ID:             id,
		Address:        t.addresses[number],
		TrafficAddress: net.JoinHostPort(host, trafficPort),
		ControlAddress: net.JoinHostPort(host, controlPort),
		Zone:           zoneName(t.settings.zoneOf(number)),
		HoldsState:     number < t.settings.Core,
		Incarnation:    incarnation,
	}
}

// controlConfig is the configuration of a node's control machine.
func (t *topology) controlConfig(number int, incarnation member.Incarnation) control.Config {
	if t.settings.SimultaneousStart {
		return t.simultaneousStartConfig(number, incarnation)
	}
	seeds := min(seedCount, t.settings.Core)
	return control.Config{
		Self:          t.info(number, incarnation),
		Seeds:         t.addresses[:seeds],
		Group:         t.group,
		ServiceShards: control.DefaultServiceShards,
		Times:         t.settings.times(),
	}
}

// times are the product's defaults, stretched.
func (s Settings) times() control.Times {
	times := control.DefaultTimes()
	for _, length := range []*time.Duration{
		&times.HeartbeatEvery, &times.ElectionTimeout, &times.LeaseDuration, &times.LeaseMargin,
		&times.FenceAfter, &times.FenceMargin, &times.AcknowledgeTimeout, &times.RequestTimeout,
		&times.RetryEvery, &times.ConfirmEvery, &times.DigestEvery, &times.EndpointReadEvery, &times.CommandGap,
	} {
		*length = s.stretched(*length)
	}
	return times
}

func (s Settings) stretched(length time.Duration) time.Duration {
	return length * time.Duration(s.Stretch)
}

func serviceName(pool int) string { return fmt.Sprintf("model-%02d", pool) }

func replicaAddress(number int) string {
	return fmt.Sprintf("10.%d.%d.%d:7400", 1+number/62500, number/250%250, 1+number%250)
}

// platformEndpoints is what the platform lists.
func platformEndpoints(settings Settings) []control.ServiceEndpoints {
	services := make([]control.ServiceEndpoints, settings.pools())
	for pool := range services {
		services[pool].Name = serviceName(pool)
	}
	for number := range settings.Replicas {
		service := &services[number%len(services)]
		service.Endpoints = append(service.Endpoints, control.Endpoint{
			Address: replicaAddress(number),
			Zone:    zoneName(settings.zoneOf(number)),
		})
	}
	return services
}
