package sim

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

// platform is the list of the deployment's back ends.
type platform struct {
	world    *simulation
	services []*platformService
	// shown is the list that nodes read, which lags behind while lagging.
	shown   []control.ListedService
	lagging bool
	// drainingSince is when the shown list first had a replica draining or no
	// more in it.
	drainingSince map[string]time.Duration
}

type platformService struct {
	name     string
	replicas []*listedReplica
}

type listedReplica struct {
	replica  *replica
	draining bool
	removed  bool
}

func newPlatform(world *simulation) *platform {
	return &platform{world: world, drainingSince: map[string]time.Duration{}}
}

// entries returns the entries of all services.
func (p *platform) entries() []*listedReplica {
	return lo.FlatMap(p.services, func(service *platformService, _ int) []*listedReplica { return service.replicas })
}

// change applies a change and shows it, unless the list lags.
func (p *platform) change(apply func()) {
	apply()
	if !p.lagging {
		p.show()
	}
}

// show makes the present state what nodes read.
func (p *platform) show() {
	p.shown = lo.Map(p.services, func(service *platformService, _ int) control.ListedService {
		return control.ListedService{Name: service.name, Replicas: service.listed()}
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

func (s *platformService) listed() []control.ListedReplica {
	var listed []control.ListedReplica
	for _, entry := range s.replicas {
		if !entry.removed {
			listed = append(listed, control.ListedReplica{
				Address:  entry.replica.address,
				Zone:     entry.replica.zone,
				Draining: entry.draining,
			})
		}
	}
	return listed
}

// readList reads the list and hands it to the node.
func (n *node) readList() {
	life := n.life
	reading := control.ListReading{StartedAt: n.now()}
	n.world.after(minLatency+n.world.upTo(replicaLatency), func() {
		reading.Services = n.world.platform.shown
		n.world.after(minLatency+n.world.upTo(replicaLatency), func() {
			n.post(life, func(now time.Duration) control.Output { return n.machine.ListRead(now, reading) })
		})
	})
}
