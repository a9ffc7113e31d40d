package routematcher

import (
	"math/rand/v2"
	"sync"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// samplingStep is the golden ratio of the range of uint64. A sequence with this step,
	// modulo the range, fills every part of the range evenly at any time.
	samplingStep = 0x9E3779B97F4A7C15
	// maxSampledRoutes bounds the routes that are remembered.
	maxSampledRoutes = 4096
)

// routeKey identifies a route in all views.
type routeKey struct {
	host, prefix string
}

// destinationSampler samples the destinations of routes with several by their weights.
// The samples of one route are evenly spaced, so that each destination gets its fraction
// even of a few requests; they start at random, so that nodes are not in step.
type destinationSampler struct {
	mutex sync.Mutex
	last  map[routeKey]uint64
}

// newDestinationSampler returns a sampler of which each route starts at random.
func newDestinationSampler() *destinationSampler {
	return &destinationSampler{last: make(map[routeKey]uint64)}
}

// next returns the sample for a request of a host's route.
func (s *destinationSampler) next(host string, route *routing.Route) uint64 {
	if len(route.Choices) == 1 {
		return 0
	}
	key := routeKey{host: host, prefix: route.Config.GetPathPrefix()}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	last, found := s.last[key]
	if !found {
		last = rand.Uint64()
		if len(s.last) == maxSampledRoutes {
			clear(s.last)
		}
	}
	s.last[key] = last + samplingStep
	return s.last[key]
}
