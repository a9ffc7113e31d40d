package fleet

import (
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/operator"
)

// LiveTargets returns the running nodes with the addresses that operators use.
func (fleet *Fleet) LiveTargets() []operator.Target {
	return lo.FilterMap(fleet.Topology().Nodes, func(node Node, _ int) (operator.Target, bool) {
		target := operator.Target{Node: node.Name, ControlAddress: node.ControlAddress()}
		return target, fleet.processes.running(node.Name) != nil
	})
}

// trafficTargets returns the front nodes with the addresses that callers use.
func trafficTargets(topology *Topology) []caller.Target {
	return lo.Map(topology.Front(), func(node Node, _ int) caller.Target {
		return caller.Target{Node: node.Name, TrafficAddress: node.TrafficAddress(), ControlAddress: node.ControlAddress()}
	})
}
