package plans

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/fleet"
)

// spareNumber is the last number of a replacement's address, which no machine
// of a deployment has.
const spareNumber = 91

// swapMachine replaces a node with a disk by an empty machine at another
// address, and restarts all nodes with other seeds.
func swapMachine(ctx context.Context, run *run) error {
	topology := run.Fleet.Topology()
	name := topology.Group[run.random.IntN(len(topology.Group))]
	node, _ := topology.Node(name)
	address, err := spareAddress(node)
	if err != nil {
		return err
	}
	run.recordDisturbance("swap the machine of " + name)
	if err := run.Fleet.KillNode(name); err != nil {
		return err
	}
	if err := run.Fleet.LoseDisk(name); err != nil {
		return err
	}
	if err := run.Fleet.MoveNode(name, address); err != nil {
		return err
	}
	if err := run.Fleet.RestartNode(name); err != nil {
		return err
	}
	if err := run.awaitService(ctx); err != nil {
		return err
	}
	if err := run.awaitVotes(ctx, name); err != nil {
		return err
	}
	if err := run.Fleet.MoveSeeds(run.otherSeeds(name)); err != nil {
		return err
	}
	return rollingRestart(ctx, run)
}

// spareAddress is a free address in the node's zone.
func spareAddress(node fleet.Node) (string, error) {
	parsed, err := netip.ParseAddr(node.Address)
	if err != nil || !parsed.Is4() {
		return "", errors.Errorf("address %q of %s is no IPv4 number", node.Address, node.Name)
	}
	numbers := parsed.As4()
	numbers[3] = spareNumber
	return netip.AddrFrom4(numbers).String(), nil
}

// otherSeeds names the moved node and, in two other zones, nodes without disks.
func (run *run) otherSeeds(moved string) []string {
	node, _ := run.Fleet.Topology().Node(moved)
	front := lo.Filter(run.Fleet.Topology().Front(), func(one fleet.Node, _ int) bool { return one.Zone != node.Zone })
	front = lo.UniqBy(front, func(one fleet.Node) string { return one.Zone })
	seeds := []string{moved}
	for _, one := range front[:min(2, len(front))] {
		seeds = append(seeds, one.Name)
	}
	return seeds
}
