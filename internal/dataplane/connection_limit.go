package dataplane

import (
	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// reservedNodes is how many nodes' shares are kept for those who serve no
	// callers and command replicas, and for nodes that this one does not know yet.
	reservedNodes = 2
	// minConnections is what a node takes in any case: one for requests beside
	// that for reports.
	minConnections = 2
)

// ConnectionLimit returns how many connections this node may have to a back end:
// its share of what the back end takes from all nodes together; 0 if that is not
// bounded.
func (s *Server) ConnectionLimit(address string) int {
	total := maxBackendConnections(s.options.Source.View(), address)
	if total == 0 {
		return 0
	}
	return max(total/(len(s.options.Peers())+reservedNodes), minConnections)
}

// maxBackendConnections returns how many connections a listed back end takes, by the
// least of the destinations that it belongs to; 0 if none bounds them.
func maxBackendConnections(view *routing.View, address string) int {
	lowest := 0
	consider := func(limits *ridgeswitchv1.BackendLimits, replicas []routing.Replica) {
		limit := int(limits.GetMaxConnections())
		if limit == 0 || lowest > 0 && limit >= lowest {
			return
		}
		for i := range replicas {
			if replicas[i].Address == address {
				lowest = limit
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
	return lowest
}
