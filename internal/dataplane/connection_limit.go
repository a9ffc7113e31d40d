package dataplane

import (
	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// reservedNodes is the number of further nodes that the connections of a back end are
	// divided among: those that serve no callers and command replicas, and nodes that
	// this one does not know yet.
	reservedNodes = 2
	// minConnections is the least limit: one connection for requests beside one for
	// reports.
	minConnections = 2
)

// ConnectionLimit returns how many connections this node may have to a back end, which is
// an equal share of what the back end accepts from all nodes together; 0 if that is not
// bounded.
func (s *Server) ConnectionLimit(address string) int {
	total := maxBackendConnections(s.options.Source.View(), address)
	if total == 0 {
		return 0
	}
	return max(total/(len(s.options.Peers())+reservedNodes), minConnections)
}

// maxBackendConnections returns how many connections a listed back end accepts, by the
// lowest limit of its destinations; 0 if none limits them.
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
