package routematcher

import (
	"math/rand/v2"
	"sync"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// samplingStep is 2^64 divided by the golden ratio. The terms of a sequence with this
	// step, modulo 2^64, are evenly distributed over the range of uint64 after any number of
	// terms.
	samplingStep = 0x9E3779B97F4A7C15
	// maxSampledRoutes is the maximum number of routes whose last sample is stored.
	maxSampledRoutes = 4096
)

// routeKey identifies a route across views.
type routeKey struct {
	host, prefix string
}

// destinationSampler generates the samples by which a route with several destinations
// distributes its requests according to the weights. The samples of one route are evenly
// distributed, so that each destination gets its fraction even of a few requests. They start
// at a random value, so that different nodes don't use the same sequence.
type destinationSampler struct {
	mutex sync.Mutex
	// last contains the last sample of each route.
	last map[routeKey]uint64
}

// newDestinationSampler returns a sampler without samples.
func newDestinationSampler() *destinationSampler {
	return &destinationSampler{last: make(map[routeKey]uint64)}
}

// next returns the sample for the next request on a host's route. It is 0 for a route with a
// single destination, which needs no sample.
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
