package dataplane

import (
	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// reservedNodes is added to the number of nodes among which the connections to a back
	// end are divided. It covers nodes that serve no callers but send commands to replicas,
	// and nodes that this one does not know yet.
	reservedNodes = 2
	// minConnections is the lowest limit: one connection for requests and one for reports.
	minConnections = 2
)

// ConnectionLimit returns how many connections this node may open to a back end: an equal
// share of the number that the back end accepts from all nodes together, or 0 if that number
// is not limited.
func (s *Server) ConnectionLimit(address string) int {
	total := maxBackendConnections(s.options.Source.View(), address)
	if total == 0 {
		return 0
	}
	return max(total/(len(s.options.Peers())+reservedNodes), minConnections)
}

// maxBackendConnections returns how many connections a back end accepts: the lowest limit of
// the destinations that list it, or 0 if none of them has a limit.
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
