package rollout

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/namedweights"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
)

// poolRollout decides the next moves of one pool's replicas, during one call of Advance. It
// owns the commands that it has decided on.
type poolRollout struct {
	config  Config
	now     time.Duration
	shard   Shard
	state   *shardState
	reports *replicaReports
	pool    *ridgeswitchv1.Pool
	// named are the versions that were named for the pool, in that order.
	named []namedweights.Version
	pace  *pace
	// evacuated are the zones to whose replicas no request goes.
	evacuated shardstate.ZoneSet
	// replicas are the pool's, but for those whose row is about another incarnation.
	replicas []poolReplica
	commands []Command
}

// poolReplica is a listed replica with its row, if it has one.
type poolReplica struct {
	listing.Replica
	row *controlpb.ReplicaState
}

// outOfService reports whether a row keeps requests from the replica.
func (r poolReplica) outOfService() bool { return OutOfService(r.row, r.Replica) }

func (p *poolRollout) target() string { return p.pool.GetWeightVersion() }

// addReplicas adds the listed replicas with their rows.
func (p *poolRollout) addReplicas(endpoints []listing.Replica) {
	for _, replica := range endpoints {
		row := shardstate.FindReplica(p.shard.Rows(), replica.Address)
		if row != nil && !sameInstance(row, replica) {
			// The row is of another incarnation: obsoleteRows has it removed before a
			// new one is made.
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

// nextRow returns the row that a replica moves to whatever the pace allows, or nil if it
// stays. To be taken out of service for an update, it waits for selectForUpdate.
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
