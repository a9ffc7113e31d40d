package dataplane

import (
	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// otherCallers is how many nodes' shares are kept for those who serve no
	// callers and command replicas, and for nodes that this one does not know yet.
	otherCallers = 2
	// leastConnections is what a node takes in any case: one for requests beside
	// that for reports.
	leastConnections = 2
)

// ConnectionLimit returns how many connections this node may have to a back end:
// its share of what the back end takes from all nodes together; 0 if that is not
// bounded.
func (s *Server) ConnectionLimit(address string) int {
	most := backendConnections(s.options.Source.View(), address)
	if most == 0 {
		return 0
	}
	return max(most/(len(s.options.Peers())+otherCallers), leastConnections)
}

// backendConnections returns how many connections a listed back end takes, by the
// least of the destinations that it belongs to; 0 if none bounds them.
func backendConnections(view *routing.View, address string) int {
	least := 0
	consider := func(limits *ridgeswitchv1.BackendLimits, listed []routing.Replica) {
		bound := int(limits.GetMaxConnections())
		if bound == 0 || least > 0 && bound >= least {
			return
		}
		for at := range listed {
			if listed[at].Address == address {
				least = bound
				return
			}
		}
	}
	if view == nil {
		return 0
	}
	for _, pool := range view.Pools {
		consider(pool.Config.GetBackends(), pool.Replicas)
	}
	for _, service := range view.WebServices {
		consider(service.Config.GetBackends(), service.Replicas)
	}
	return least
}
