package dataplane

import (
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// DestinationLoad is the number of attempts that run on the back ends of a destination
// through this node.
type DestinationLoad struct {
	Name string
	// WebService distinguishes a web service from a pool.
	WebService bool
	// InFlight counts the attempts. Attempts on a back end that several destinations share
	// count for each of them.
	InFlight int
}

// Load returns the load of every destination of the newest view, in no particular order.
func (s *Server) Load() []DestinationLoad {
	view := s.options.Source.View()
	if view == nil {
		return nil
	}
	loads := make([]DestinationLoad, 0, len(view.Pools)+len(view.WebServices))
	for name, pool := range view.Pools {
		loads = append(loads, DestinationLoad{Name: name, InFlight: s.inFlightOn(pool.Replicas)})
	}
	for name, service := range view.WebServices {
		loads = append(loads, DestinationLoad{Name: name, WebService: true, InFlight: s.inFlightOn(service.Replicas)})
	}
	return loads
}

// inFlightOn returns how many attempts run on the given back ends through this node.
func (s *Server) inFlightOn(replicas []routing.Replica) int {
	total := 0
	for _, replica := range replicas {
		total += s.dispatcher.InFlight(replica.Address)
	}
	return total
}

// IndexStats returns the size of the prefix index.
func (s *Server) IndexStats() prefixindex.Stats {
	return s.router.IndexStats()
}
