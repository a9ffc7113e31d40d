package rollout

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/namedweights"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
)

// poolRollout decides the next steps of one pool's replicas during one call of Advance. It
// owns the resulting commands.
type poolRollout struct {
	config  Config
	now     time.Duration
	shard   Shard
	state   *shardState
	reports *replicaReports
	pool    *ridgeswitchv1.Pool
	// named contains the versions that were named for the pool, in the order in which
	// they were named.
	named []namedweights.Version
	pace  *pace
	// evacuated contains the zones whose replicas get no requests.
	evacuated shardstate.ZoneSet
	// replicas contains the pool's replicas except those whose row belongs to another
	// incarnation.
	replicas []poolReplica
	commands []Command
}

// poolReplica is a replica in the platform's list with its row, which is nil if it has none.
type poolReplica struct {
	listing.Replica
	row *controlpb.ReplicaState
}

// outOfService reports whether the replica gets no requests because of its row.
func (r poolReplica) outOfService() bool { return OutOfService(r.row, r.Replica) }

func (p *poolRollout) target() string { return p.pool.GetWeightVersion() }

// addReplicas adds replicas of the platform's list with their rows.
func (p *poolRollout) addReplicas(endpoints []listing.Replica) {
	for _, replica := range endpoints {
		row := shardstate.FindReplica(p.shard.Rows(), replica.Address)
		if row != nil && !sameInstance(row, replica) {
			// The row belongs to another incarnation. Since obsoleteRows returns it,
			// it is removed before the replica gets a new row.
			continue
		}
		p.replicas = append(p.replicas, poolReplica{Replica: replica, row: row})
	}
}

// advance returns the rows that change.
func (p *poolRollout) advance() []*controlpb.ReplicaState {
	var rows []*controlpb.ReplicaState
	moved := map[string]struct{}{}
	for _, replica := range p.replicas {
		if next := p.nextRow(replica); next != nil {
			rows = append(rows, next)
			moved[replica.Address] = struct{}{}
		}
	}
	for _, replica := range p.selectForUpdate(moved) {
		rows = append(rows, p.beginUpdate(replica))
	}
	return rows
}

// nextRow returns the next row of a replica, or nil if its row does not change. It makes the
// changes that do not depend on the pace; selectForUpdate selects the replicas to take out of
// service for an update.
func (p *poolRollout) nextRow(replica poolReplica) *controlpb.ReplicaState {
	switch {
	case replica.row == nil:
		return p.firstRow(replica)
	case replica.row.GetPhase() == controlpb.ReplicaPhase_DRAINING:
		return p.advanceDraining(replica)
	case replica.row.GetPhase() == controlpb.ReplicaPhase_LOADING:
		return p.advanceLoading(replica)
	default:
		return p.checkServing(replica)
	}
}
