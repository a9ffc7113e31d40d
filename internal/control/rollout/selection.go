package rollout

import (
	"cmp"
	"slices"

	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
)

// selectForUpdate returns the replicas to take out of service now: as many as the pace
// allows, from the zones with the fewest out of service, the least busy first. The last
// serving replica of a zone stays until the roll-out is overdue.
func (p *poolRollout) selectForUpdate(moved map[string]struct{}) []poolReplica {
	candidates := slices.DeleteFunc(slices.Clone(p.replicas), func(replica poolReplica) bool {
		_, done := moved[replica.Address]
		return done || !p.needsUpdate(replica)
	})
	zones := p.countZones()
	free := p.rolloutCapacity(len(candidates))
	var selected []poolReplica
	for free > 0 && len(candidates) > 0 {
		slices.SortStableFunc(candidates, func(a, b poolReplica) int {
			return cmp.Or(
				compareEvacuated(p.evacuated, a.Zone, b.Zone),
				cmp.Compare(zones[a.Zone].out, zones[b.Zone].out),
				cmp.Compare(p.reports.newest[a.Address].ActiveRequests, p.reports.newest[b.Address].ActiveRequests),
			)
		})
		next := candidates[0]
		candidates = candidates[1:]
		zone := zones[next.Zone]
		if !p.evacuated.Has(next.Zone) && zone.serving <= 1 && zone.serving+zone.out > 1 && !p.pace.overdue(p.now) {
			continue
		}
		zone.serving--
		zone.out++
		free--
		selected = append(selected, next)
	}
	return selected
}

// compareEvacuated orders evacuated zones first, as their replicas serve nobody.
func compareEvacuated(evacuated shardstate.ZoneSet, a, b string) int {
	switch {
	case evacuated.Has(a) == evacuated.Has(b):
		return 0
	case evacuated.Has(a):
		return -1
	default:
		return 1
	}
}

// zoneCount is how many replicas of a pool serve in a zone, and how many are out.
type zoneCount struct {
	serving, out int
}

func (p *poolRollout) countZones() map[string]*zoneCount {
	zones := map[string]*zoneCount{}
	for _, replica := range p.replicas {
		zone := zones[replica.Zone]
		if zone == nil {
			zone = &zoneCount{}
			zones[replica.Zone] = zone
		}
		switch {
		case replica.outOfService():
			zone.out++
		case !replica.Draining:
			zone.serving++
		}
	}
	return zones
}

// rolloutCapacity returns how many more replicas may be taken out of service. Those that
// do not respond don't count: they serve nobody.
func (p *poolRollout) rolloutCapacity(candidates int) int {
	out := 0
	for _, replica := range p.replicas {
		if replica.outOfService() && !p.seemsUnavailable(replica) {
			out++
		}
	}
	// Those that are out are half through on average.
	left := candidates + (out+1)/2
	return p.pace.allowed(p.now, left, len(p.replicas)) - out
}

// seemsUnavailable reports whether a replica has not responded for so long that taking it
// out of service costs nothing. A leader that has only begun to ask knows of none.
func (p *poolRollout) seemsUnavailable(replica poolReplica) bool {
	if replica.WeightVersion != "" {
		return p.reports.unresponsive(replica.Address)
	}
	leading := p.now - p.state.since
	_, fresh := p.reports.fresh(p.now, replica.Address)
	return leading >= reportFreshness && !fresh
}
