package sim

import (
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

// platform is the endpoint list of the deployment's back ends.
type platform struct {
	world    *simulation
	services []*platformService
	// shown is the list that nodes read. It does not change while lagging is set.
	shown   []control.ServiceEndpoints
	lagging bool
	// down counts the faults that have reads fail, and backAt is when the last
	// one ended.
	down   int
	backAt time.Duration
	// firstReader is the first node that read the list.
	firstReader *node
	// drainingSince is when the shown list first had a replica draining or
	// removed.
	drainingSince map[string]time.Duration
}

type platformService struct {
	name     string
	replicas []*endpoint
}

type endpoint struct {
	replica  *replica
	draining bool
	removed  bool
}

func newPlatform(world *simulation) *platform {
	return &platform{world: world, drainingSince: map[string]time.Duration{}}
}

// entries returns the endpoints of all services.
func (p *platform) entries() []*endpoint {
	return lo.FlatMap(p.services, func(service *platformService, _ int) []*endpoint { return service.replicas })
}

// change applies a change and shows it, unless the list lags.
func (p *platform) change(apply func()) {
	apply()
	if !p.lagging {
		p.show()
	}
}

// show publishes the present state to readers.
func (p *platform) show() {
	p.shown = lo.Map(p.services, func(service *platformService, _ int) control.ServiceEndpoints {
		return control.ServiceEndpoints{Name: service.name, Endpoints: service.endpoints()}
	})
	for _, entry := range p.entries() {
		address := entry.replica.address
		_, known := p.drainingSince[address]
		switch gone := entry.draining || entry.removed; {
		case gone && !known:
			p.drainingSince[address] = p.world.now
		case !gone:
			delete(p.drainingSince, address)
		}
	}
}

func (s *platformService) endpoints() []control.Endpoint {
	var endpoints []control.Endpoint
	for _, entry := range s.replicas {
		if !entry.removed {
			endpoints = append(endpoints, entry.snapshot())
		}
	}
	return endpoints
}

// snapshot is the entry as the list shows it.
func (e *endpoint) snapshot() control.Endpoint {
	entry := control.Endpoint{Address: e.replica.address, Zone: e.replica.zone, Draining: e.draining}
	if e.replica.world.settings.FinishFirst {
		entry.Instance = e.replica.instance()
		entry.WeightVersion = e.replica.version
		entry.Slots = 8
	}
	return entry
}

// showLater publishes a change of a replica itself after a lag.
func (p *platform) showLater() {
	const lag = 800 * time.Millisecond
	p.world.after(lag, func() {
		if !p.lagging {
			p.show()
		}
	})
}

var errPlatformDown = errors.New("the platform does not answer")

// mayRead reports whether a read by a node succeeds.
func (p *platform) mayRead(n *node) bool {
	if p.firstReader == nil {
		p.firstReader = n
	}
	return p.down == 0 && (p.firstReader == n || !p.world.broken(BreakReaderNeverReplaced))
}

// readEndpoints reads the list and hands it to the node.
func (n *node) readEndpoints() {
	process := n.process
	reading := control.EndpointReading{StartedAt: n.now()}
	n.world.counts.EndpointReads++
	n.world.after(minLatency+n.world.upTo(replicaLatency), func() {
		reading.Services = n.world.platform.shown
		if !n.world.platform.mayRead(n) {
			reading.Services, reading.Err = nil, errPlatformDown
		}
		n.world.after(minLatency+n.world.upTo(replicaLatency), func() {
			n.post(process, func(now time.Duration) control.Output { return n.machine.EndpointsRead(now, reading) })
		})
	})
}
