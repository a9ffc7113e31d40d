package rollout

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
)

// rowRetention is how long a row is kept for a serving replica whose version the list
// shows. The list has caught up with the row by then.
const rowRetention = 10 * time.Second

// poolRollout is what one call of Advance knows of a pool.
type poolRollout struct {
	shard Shard
	state *shardState
	pool  *ridgeswitchv1.Pool
	pace  *pace
	// replicas are the pool's, but for those whose row is about another incarnation.
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
			// The row is of another incarnation: obsoleteRows removes it before a new
			// one is made.
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

// nextRow returns the row that a replica moves to by itself, which is any but the step out
// of service, or nil if it stays.
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

// obsoleteRows lists the addresses of rows that are no longer needed: those of replicas
// that left the list or came back as another incarnation, and those that the list has
// caught up with.
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
