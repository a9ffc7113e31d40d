package rollout

import (
	"cmp"
	"slices"
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
)

// rowRetention is for how long a row tells the version of a replica whose version the
// list shows. The list has caught up by then.
const rowRetention = 10 * time.Second

// obsoleteRows lists the rows that say nothing any more: of replicas that left the
// list or came back as another incarnation, and those that the list has caught up
// with.
func (m *Machine) obsoleteRows(state *shardState, rows []*controlpb.ReplicaState, endpoints map[string]listing.Replica) []string {
	var obsolete []string
	for _, row := range rows {
		replica, found := endpoints[row.GetAddress()]
		if !found || !sameInstance(row, replica) || m.caughtUp(state, row, replica) {
			obsolete = append(obsolete, row.GetAddress())
		}
	}
	return obsolete
}

// caughtUp reports whether the list knows as much as a row by now.
func (m *Machine) caughtUp(state *shardState, row *controlpb.ReplicaState, endpoint listing.Replica) bool {
	address := row.GetAddress()
	if endpoint.WeightVersion == "" || row.GetPhase() != controlpb.ReplicaPhase_SERVING {
		delete(state.servingSince, address)
		return false
	}
	since, seen := state.servingSince[address]
	if !seen {
		state.servingSince[address] = m.now
		return false
	}
	if m.now-since < rowRetention {
		return false
	}
	delete(state.servingSince, address)
	return true
}

// poolRollout is one look at the replicas of a pool.
type poolRollout struct {
	shard Shard
	state *shardState
	pool  *ridgeswitchv1.Pool
	pace  *pace
	// replicas are those that the list does not show draining, with their rows.
	replicas []poolReplica
}

// poolReplica is a listed replica with its row, if it has one.
type poolReplica struct {
	listing.Replica
	row *controlpb.ReplicaState
}

// outOfService reports whether a row keeps requests from the replica.
func (r poolReplica) outOfService() bool { return OutOfService(r.row, r.Replica) }

func (r poolRollout) target() string { return r.pool.GetWeightVersion() }

// advancePool gathers the changes of one pool's replicas.
func (m *Machine) advancePool(shard Shard, state *shardState, pool Pool, change *controlpb.SetReplicas) {
	rolling := poolRollout{shard: shard, state: state, pool: pool.Config, pace: state.paceFor(pool.Config, m.now, m.config)}
	for _, replica := range pool.Endpoints {
		row := shardstate.FindReplica(shard.Rows(), replica.Address)
		if row != nil && !sameInstance(row, replica) {
			// The row goes first.
			continue
		}
		rolling.replicas = append(rolling.replicas, poolReplica{Replica: replica, row: row})
	}
	moved := map[string]struct{}{}
	for _, replica := range rolling.replicas {
		if next := m.nextRow(rolling, replica); next != nil {
			change.Replicas = append(change.Replicas, next)
			moved[replica.Address] = struct{}{}
		}
	}
	for _, replica := range m.selectForUpdate(rolling, moved) {
		change.Replicas = append(change.Replicas, m.beginUpdate(rolling, replica))
	}
}

// nextRow returns the row that a replica moves to without anybody's choice, or nil
// if it stays.
func (m *Machine) nextRow(rolling poolRollout, replica poolReplica) *controlpb.ReplicaState {
	switch {
	case replica.row == nil:
		return m.firstRow(rolling, replica)
	case replica.row.GetPhase() == controlpb.ReplicaPhase_DRAINING:
		return m.advanceDraining(rolling, replica)
	case replica.row.GetPhase() == controlpb.ReplicaPhase_LOADING:
		return m.advanceLoading(rolling, replica)
	default:
		return m.checkServing(replica)
	}
}

// selectForUpdate returns the replicas to take out of service now: as many as the pace
// allows, from the zones that miss the fewest, the least busy first.
func (m *Machine) selectForUpdate(rolling poolRollout, moved map[string]struct{}) []poolReplica {
	evacuated := m.evacuated
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
				compareEvacuated(evacuated, a.Zone, b.Zone),
				cmp.Compare(zones[a.Zone].out, zones[b.Zone].out),
				cmp.Compare(m.reports[a.Address].ActiveRequests, m.reports[b.Address].ActiveRequests),
			)
		})
		next := candidates[0]
		candidates = candidates[1:]
		zone := zones[next.Zone]
		if !evacuated.Has(next.Zone) && zone.serving <= 1 && zone.serving+zone.out > 1 && !rolling.pace.overdue(m.now) {
			continue
		}
		zone.serving--
		zone.out++
		free--
		selected = append(selected, next)
	}
	return selected
}

// compareEvacuated orders what serves nobody first.
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

// rolloutCapacity is how many more replicas may be taken out of service. Those that
// do not answer count for nothing: they serve nobody.
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

// seemsUnavailable reports whether a replica has not answered for long enough that
// taking it out of service costs nothing. A leader that has only begun to ask
// knows of none.
func (m *Machine) seemsUnavailable(rolling poolRollout, replica poolReplica) bool {
	if replica.WeightVersion != "" {
		return m.unresponsive(replica.Address)
	}
	asked := m.now - rolling.state.since
	return asked >= reportFreshness && !m.reportIsFresh(replica.Address)
}
