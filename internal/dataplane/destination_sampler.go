package dataplane

import (
	"math/rand/v2"
	"sync"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// samplingStep is the golden section of the numbers that a draw may be. Numbers
	// that are this far apart, beyond the last one from the first one on, fill
	// every part of the range evenly at any time.
	samplingStep = 0x9E3779B97F4A7C15
	// maxSampledRoutes bounds the routes that are kept in mind.
	maxSampledRoutes = 4096
)

// routeKey tells routes apart over views.
type routeKey struct {
	host, prefix string
}

// destinationSampler draws the destinations of routes that have several. Draws of one
// route fill the range evenly, so that each destination gets its share also of a
// few requests; where they begin is random, so that nodes don't go in step.
type destinationSampler struct {
	mutex sync.Mutex
	last  map[routeKey]uint64
}

// newDestinationSampler returns draws that begin anywhere.
func newDestinationSampler() *destinationSampler {
	return &destinationSampler{last: make(map[routeKey]uint64)}
}

// next returns the draw for a request of a host's route.
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
