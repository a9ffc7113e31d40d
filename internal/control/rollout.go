package control

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
)

// The inputs and outputs of roll-outs are part of the inputs and outputs of Machine.
type (
	// Command instructs a replica to load weights.
	Command = rollout.Command
	// CommandOutcome is the outcome of a command.
	CommandOutcome = rollout.CommandOutcome
	// ReportRequest asks for a replica's report.
	ReportRequest = rollout.ReportRequest
	// ReplicaReport is the report of a replica about its own state.
	ReplicaReport = rollout.ReplicaReport
)

// The outcomes of a command, see rollout.CommandOutcome.
const (
	CommandUnknown       = rollout.CommandUnknown
	CommandAccepted      = rollout.CommandAccepted
	CommandUpToDate      = rollout.CommandUpToDate
	CommandBusy          = rollout.CommandBusy
	CommandFenced        = rollout.CommandFenced
	CommandWrongInstance = rollout.CommandWrongInstance
	CommandNotSent       = rollout.CommandNotSent
	CommandRefused       = rollout.CommandRefused
)

// advanceRollouts performs the next steps for each shard that this node leads: it drops a
// registered incarnation that has ended, and moves replicas to other weights.
func (m *Machine) advanceRollouts() {
	now := m.clock.now
	if !m.rollout.BeginRun(now) {
		return
	}
	for shard := range m.shards.all() {
		if !shard.IsLeader() {
			continue
		}
		m.rollout.Lead(now, shard.ID(), shard.Term())
		m.forgetEndedNode(shard)
		if service, ok := shard.State().(*shardstate.Service); ok {
			m.rollOut(shard, service)
		}
	}
}

// rollOut moves the replicas of the pools whose service hashes to a shard. It does nothing
// before an endpoint list is known, and until all entries of the shard's log have been
// applied: otherwise it would decide from rows that another change is about to replace.
func (m *Machine) rollOut(shard hostedShard, service *shardstate.Service) {
	if !m.endpoints.inUse.known || !shard.AllApplied() {
		return
	}
	configuration := m.Configuration()
	var pools []rollout.Pool
	for _, pool := range configuration.GetPools() {
		if shardstate.ShardOfService(pool.GetService(), m.config.ServiceShards) == shard.ID() {
			pools = append(pools, rollout.Pool{
				Config:    pool,
				Endpoints: m.endpoints.inUse.services[pool.GetService()],
				Named:     m.views.builder.NamedWeights(pool.GetName()),
			})
		}
	}
	led := ledServiceShard{hostedShard: shard, state: service}
	change := m.rollout.Advance(m.clock.now, led, pools, shardstate.EvacuatedZones(configuration))
	if change != nil {
		shard.ProposeCommand(m.clock.now, &controlpb.Command{Command: &controlpb.Command_SetReplicas{SetReplicas: change}})
	}
}
