package rollout

import (
	"cmp"
	"slices"

	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
)

// selectForUpdate returns the replicas to take out of service now: as many as the pace
// allows, from the zones with the fewest out of service, the least busy first. The last
// serving replica of a zone stays until the roll-out is overdue.
func (m *Machine) selectForUpdate(rolling poolRollout, moved map[string]struct{}) []poolReplica {
	candidates := slices.DeleteFunc(slices.Clone(rolling.replicas), func(replica poolReplica) bool {
		_, done := moved[replica.Address]
		return done || !m.needsUpdate(rolling, replica)
	})
	zones := m.countZones(rolling)
	free := m.rolloutCapacity(rolling, len(candidates))
	var selected []poolReplica
	for free > 0 && len(candidates) > 0 {
		slices.SortStableFunc(candidates, func(a, b poolReplica) int {
			return cmp.Or(
				compareEvacuated(m.evacuated, a.Zone, b.Zone),
				cmp.Compare(zones[a.Zone].out, zones[b.Zone].out),
				cmp.Compare(m.reports[a.Address].ActiveRequests, m.reports[b.Address].ActiveRequests),
			)
		})
		next := candidates[0]
		candidates = candidates[1:]
		zone := zones[next.Zone]
		if !m.evacuated.Has(next.Zone) && zone.serving <= 1 && zone.serving+zone.out > 1 && !rolling.pace.overdue(m.now) {
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

func (m *Machine) countZones(rolling poolRollout) map[string]*zoneCount {
	zones := map[string]*zoneCount{}
	for _, replica := range rolling.replicas {
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
func (m *Machine) rolloutCapacity(rolling poolRollout, candidates int) int {
	out := 0
	for _, replica := range rolling.replicas {
		if replica.outOfService() && !m.seemsUnavailable(rolling, replica) {
			out++
		}
	}
	// Those that are out are half through on average.
	left := candidates + (out+1)/2
	return rolling.pace.allowed(m.now, left, len(rolling.replicas)) - out
}

// seemsUnavailable reports whether a replica has not responded for so long that taking it
// out of service costs nothing. A leader that has only begun to ask knows of none.
func (m *Machine) seemsUnavailable(rolling poolRollout, replica poolReplica) bool {
	if replica.WeightVersion != "" {
		return m.unresponsive(replica.Address)
	}
	leading := m.now - rolling.state.since
	return leading >= reportFreshness && !m.reportIsFresh(replica.Address)
}
