package sim

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

// platform is the endpoint list of the deployment's back ends.
type platform struct {
	env      *environment
	checks   *checks
	services []*platformService
	// replicas are the replicas of all services by address.
	replicas map[string]*replica
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

func newPlatform(env *environment) *platform {
	return &platform{env: env, replicas: map[string]*replica{}, drainingSince: map[string]time.Duration{}}
}

// addPool adds a service with the replicas of a pool.
func (p *platform) addPool(pool string, replicas, zones int) {
	service := &platformService{name: pool}
	for number := range replicas {
		one := &replica{
			env:         p.env,
			platform:    p,
			checks:      p.checks,
			address:     fmt.Sprintf("%s-%d", pool, number),
			zone:        zoneName(number % zones),
			service:     pool,
			pool:        pool,
			up:          true,
			incarnation: 1,
			version:     p.env.settings.firstWeights(),
			lastVersion: p.env.settings.firstWeights(),
		}
		if number%2 == 1 {
			one.measureEvery = measureEvery
		}
		p.replicas[one.address] = one
		service.replicas = append(service.replicas, &endpoint{replica: one})
	}
	p.services = append(p.services, service)
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
			p.drainingSince[address] = p.env.now
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
	if e.replica.env.settings.FinishFirst {
		entry.Instance = e.replica.instance()
		entry.WeightVersion = e.replica.version
		entry.Slots = 8
	}
	return entry
}

// showLater publishes a change of a replica itself after a lag.
func (p *platform) showLater() {
	const lag = 800 * time.Millisecond
	p.env.after(lag, func() {
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
	return p.down == 0 && (p.firstReader == n || !p.env.broken(BreakReaderNeverReplaced))
}
