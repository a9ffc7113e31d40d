package plans

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/fleet"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/links"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/pause"
)

// partitionTime is how long a zone is partitioned.
const partitionTime = 6 * time.Second

// boundary holds the links between a zone and all others.
type boundary struct {
	out []links.Link
	in  []links.Link
}

// partitionZone partitions a zone both ways, then each way alone.
func partitionZone(ctx context.Context, run *run) error {
	zones := run.Fleet.Topology().Zones()
	zone := zones[run.random.IntN(len(zones))]
	border, err := boundaryOf(run.Fleet.Topology(), zone)
	if err != nil {
		return err
	}
	both := append(append([]links.Link(nil), border.out...), border.in...)
	for _, cut := range []struct {
		name  string
		links []links.Link
	}{{"cut off " + zone, both}, {"cut what leaves " + zone, border.out}, {"cut what enters " + zone, border.in}} {
		run.recordDisturbance(cut.name)
		run.network.SetState(cut.links, links.LinkState{Blocked: true})
		pause.For(ctx, partitionTime)
		run.recordDisturbance("end: " + cut.name)
		run.network.SetState(cut.links, links.LinkState{})
		if err := run.awaitCalm(ctx); err != nil {
			return err
		}
	}
	return nil
}

// boundaryOf returns the boundary of a zone.
func boundaryOf(topology *fleet.Topology, zone string) (boundary, error) {
	var border boundary
	for _, inner := range topology.Nodes {
		for _, outer := range topology.Nodes {
			if inner.Zone != zone || outer.Zone == zone {
				continue
			}
			link, err := linkBetween(inner, outer)
			if err != nil {
				return boundary{}, err
			}
			border.out = append(border.out, link)
			border.in = append(border.in, links.Link{From: link.To, To: link.From})
		}
	}
	return border, nil
}

func linkBetween(from, to fleet.Node) (links.Link, error) {
	origin, err := netip.ParseAddr(from.Address)
	if err != nil {
		return links.Link{}, errors.Wrapf(err, "address of %s", from.Name)
	}
	target, err := netip.ParseAddr(to.Address)
	return links.Link{From: origin, To: target}, errors.Wrapf(err, "address of %s", to.Name)
}
