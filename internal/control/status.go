package control

import (
	"time"

	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/internal/control/view"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
)

// Status describes this node's view of the deployment.
func (m *Machine) Status() *ridgeswitchv1.NodeStatus {
	now, until := m.clock.now, m.ServeUntil()
	status := &ridgeswitchv1.NodeStatus{
		Node:             string(m.config.Self.ID),
		Zone:             m.config.Self.Zone,
		HoldsState:       m.config.Self.HoldsState,
		Fenced:           until <= now,
		ServedRevision:   m.localConfirmations.local.Published(ConfigurationShard),
		Fences:           m.members.FenceCount(),
		ServeRemainingMs: remainingMilliseconds(now, until),
	}
	for _, record := range m.members.Members() {
		status.Members = append(status.Members, &ridgeswitchv1.MemberStatus{
			Node:           string(record.Info.ID),
			Address:        record.Info.Address,
			Zone:           record.Info.Zone,
			HoldsState:     record.Info.HoldsState,
			State:          stateName(record.State),
			Incarnation:    uint64(record.Info.Incarnation),
			ControlAddress: record.Info.ControlAddress,
		})
	}
	for _, id := range m.shards.ids {
		status.Shards = append(status.Shards, m.shardStatus(id))
	}
	for _, progress := range m.Rollouts() {
		status.Rollouts = append(status.Rollouts, rolloutStatus(now, progress))
	}
	return status
}

func rolloutStatus(now time.Duration, progress view.RolloutProgress) *ridgeswitchv1.RolloutStatus {
	return &ridgeswitchv1.RolloutStatus{
		Pool:              progress.Pool,
		WeightVersion:     progress.Version,
		NamedForMs:        (now - progress.NamedAt).Milliseconds(),
		Overdue:           progress.Overdue,
		Replicas:          uint32(progress.Replicas),
		Outdated:          uint32(progress.Outdated),
		OutdatedAdmitting: uint32(progress.OutdatedAdmitting),
	}
}

func (m *Machine) shardStatus(id uint32) *ridgeswitchv1.ShardStatus {
	status := &ridgeswitchv1.ShardStatus{
		Shard:    id,
		Leader:   string(m.leaders.Known(id)),
		Term:     m.recovery.ObservedTerm(id),
		Revision: m.states.received.Revision(id),
		Group: lo.Map(m.shards.Group(id), func(node member.ID, _ int) string {
			return string(node)
		}),
	}
	if shard, hosted := m.shards.find(id); hosted {
		group := shard.Group().Status()
		status.Term = group.Term
		status.Commit = group.Commit
		status.Applied = shard.Applied()
		status.BadEntries = shard.BadEntries()
	}
	return status
}

// remainingMilliseconds returns how much longer a node that may serve until the given time may
// do so; -1 if nothing can fence the node.
func remainingMilliseconds(now, until time.Duration) int64 {
	if until == membership.Never {
		return -1
	}
	return max(0, until-now).Milliseconds()
}

// Weights returns the progress of the roll-out of a pool, or nil if there is no such pool.
func (m *Machine) Weights(poolName string) *ridgeswitchv1.WeightsStatus {
	for _, pool := range m.Configuration().GetPools() {
		if pool.GetName() == poolName {
			shardID := shardstate.ShardOfService(pool.GetService(), m.config.ServiceShards)
			return poolWeights(pool, m.states.received.Service(shardID).GetReplicas(), m.endpoints.inUse.services[pool.GetService()])
		}
	}
	return nil
}

// poolWeights returns the status of the replicas of a pool, from their state rows and the
// platform's endpoint list.
func poolWeights(pool *ridgeswitchv1.Pool, rows []*controlpb.ReplicaState, endpoints []listing.Replica) *ridgeswitchv1.WeightsStatus {
	status := &ridgeswitchv1.WeightsStatus{Pool: pool.GetName(), WeightVersion: pool.GetWeightVersion()}
	for _, endpoint := range endpoints {
		row := shardstate.FindReplica(rows, endpoint.Address)
		status.Replicas = append(status.Replicas, &ridgeswitchv1.ReplicaStatus{
			Address:          endpoint.Address,
			Zone:             endpoint.Zone,
			Phase:            phaseOf(row, endpoint),
			WeightVersion:    statusVersion(row, endpoint),
			PlatformDraining: endpoint.Draining,
		})
	}
	return status
}

// phaseOf returns the name of the phase of a replica. A replica without a row counts as serving
// if the endpoint list shows its version.
func phaseOf(row *controlpb.ReplicaState, endpoint listing.Replica) string {
	if row == nil && endpoint.WeightVersion != "" {
		return phaseName(controlpb.ReplicaPhase_SERVING)
	}
	return phaseName(row.GetPhase())
}

// statusVersion returns the version that a replica runs. For a replica that is out of service,
// it is the version of its row, which the replica is to load.
func statusVersion(row *controlpb.ReplicaState, endpoint listing.Replica) string {
	if rollout.OutOfService(row, endpoint) {
		return row.GetWeightVersion()
	}
	return rollout.RunningVersion(row, endpoint)
}

func phaseName(phase controlpb.ReplicaPhase) string {
	switch phase {
	case controlpb.ReplicaPhase_SERVING:
		return "serving"
	case controlpb.ReplicaPhase_DRAINING:
		return "draining"
	case controlpb.ReplicaPhase_LOADING:
		return "loading"
	default:
		return "unknown"
	}
}

func stateName(state membership.State) string {
	switch state {
	case membership.StateAlive:
		return "alive"
	case membership.StateSuspect:
		return "suspect"
	case membership.StateFenced:
		return "fenced"
	case membership.StateLeft:
		return "left"
	default:
		return "unknown"
	}
}
