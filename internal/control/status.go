package control

import (
	"time"

	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
)

// ServeUntil is the instant until which this node may admit traffic if nothing
// else is heard; zero while it may not admit any.
func (m *Machine) ServeUntil() time.Duration {
	if m.config.FailOpen {
		if m.received.Revision(ConfigurationShard) == 0 {
			return 0
		}
		return membership.Never
	}
	if !m.registered(ConfigurationShard) || m.members.Fenced(m.now) || !m.freshness.usable(m.now) {
		return 0
	}
	return m.members.FenceDeadline()
}

// Prepared reports whether this node can serve what the configuration promises: it
// knows the back ends, and is registered with the shard of every pool.
func (m *Machine) Prepared() bool {
	if !m.backends.known {
		return false
	}
	for _, pool := range m.received.Configuration().GetPools() {
		if !m.config.ReplicasFinishFirst && !m.registered(shardstate.ShardOfService(pool.GetService(), m.config.ServiceShards)) {
			return false
		}
	}
	return true
}

// Configuration returns the newest configuration that reached this node; read
// only.
func (m *Machine) Configuration() *ridgeswitchv1.Configuration { return m.received.Configuration() }

// Status describes this node's view of the deployment.
func (m *Machine) Status() *ridgeswitchv1.NodeStatus {
	status := &ridgeswitchv1.NodeStatus{
		Node:             string(m.config.Self.ID),
		Zone:             m.config.Self.Zone,
		HoldsState:       m.config.Self.HoldsState,
		Fenced:           m.ServeUntil() <= m.now,
		ServedRevision:   m.served.Published(ConfigurationShard),
		Fences:           m.members.FenceCount(),
		ServeRemainingMs: m.serveRemaining(),
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
	for _, id := range m.shardIDs {
		status.Shards = append(status.Shards, m.shardStatus(id))
	}
	return status
}

func (m *Machine) shardStatus(id uint32) *ridgeswitchv1.ShardStatus {
	status := &ridgeswitchv1.ShardStatus{
		Shard:    id,
		Leader:   string(m.leaders.Known(id)),
		Term:     m.recovery.ObservedTerm(id),
		Revision: m.received.Revision(id),
		Group: lo.Map(m.groupOf(id), func(id member.ID, _ int) string {
			return string(id)
		}),
	}
	if hosted := m.shards[id]; hosted != nil {
		core := hosted.Group().Status()
		status.Term = core.Term
		status.Commit = core.Commit
		status.Applied = hosted.Applied()
		status.BadEntries = hosted.BadEntries()
	}
	return status
}

// serveRemaining is how long this node may still serve, in milliseconds; -1 if
// nothing can fence it.
func (m *Machine) serveRemaining() int64 {
	until := m.ServeUntil()
	if until == membership.Never {
		return -1
	}
	return max(0, until-m.now).Milliseconds()
}

// Weights describes how far the roll-out of a pool has come, or returns nil when
// there is no such pool.
func (m *Machine) Weights(poolName string) *ridgeswitchv1.WeightsStatus {
	for _, pool := range m.received.Configuration().GetPools() {
		if pool.GetName() == poolName {
			return m.poolWeights(pool)
		}
	}
	return nil
}

func (m *Machine) poolWeights(pool *ridgeswitchv1.Pool) *ridgeswitchv1.WeightsStatus {
	status := &ridgeswitchv1.WeightsStatus{Pool: pool.GetName(), WeightVersion: pool.GetWeightVersion()}
	rows := m.received.Service(shardstate.ShardOfService(pool.GetService(), m.config.ServiceShards)).GetReplicas()
	for _, endpoint := range m.backends.services[pool.GetService()] {
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

// phaseOf is the phase of a replica; one without a row serves if the list shows its
// version.
func phaseOf(row *controlpb.ReplicaState, endpoint listing.Replica) string {
	if row == nil && endpoint.WeightVersion != "" {
		return phaseName(controlpb.ReplicaPhase_SERVING)
	}
	return phaseName(row.GetPhase())
}

// statusVersion is what a replica runs, or is ordered to load.
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
