package dataplane

import (
	"math/rand/v2"
	"sync"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// shareStep is the golden section of the numbers that a draw may be. Numbers
	// that are this far apart, beyond the last one from the first one on, fill
	// every part of the range evenly at any time.
	shareStep = 0x9E3779B97F4A7C15
	// maxSharedRoutes bounds the routes that are kept in mind.
	maxSharedRoutes = 4096
)

// sharedRoute tells routes apart over views.
type sharedRoute struct {
	host, prefix string
}

// shareDraws draws the destinations of routes that have several. Draws of one
// route fill the range evenly, so that each destination gets its share also of a
// few requests; where they begin is random, so that nodes don't go in step.
type shareDraws struct {
	mutex sync.Mutex
	last  map[sharedRoute]uint64
}

// newShareDraws returns draws that begin anywhere.
func newShareDraws() *shareDraws {
	return &shareDraws{last: make(map[sharedRoute]uint64)}
}

// next returns the draw for a request of a host's route.
func (s *shareDraws) next(host string, route *routing.Route) uint64 {
	if len(route.Choices) == 1 {
		return 0
	}
	name := sharedRoute{host: host, prefix: route.Config.GetPathPrefix()}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	last, known := s.last[name]
	if !known {
		last = rand.Uint64()
		if len(s.last) == maxSharedRoutes {
			clear(s.last)
		}
	}
	s.last[name] = last + shareStep
	return s.last[name]
}
