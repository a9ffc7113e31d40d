package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shards"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
)

// The inputs and outputs of roll-outs are part of those of the whole machine.
type (
	// Command orders a replica to load weights.
	Command = rollout.Command
	// CommandOutcome is the outcome of a command.
	CommandOutcome = rollout.CommandOutcome
	// ReportRequest asks for a replica's report.
	ReportRequest = rollout.ReportRequest
	// ReplicaReport is what a replica reported of itself.
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

// newRollout returns the machine that rolls out weights in the shards that a node
// hosts.
func newRollout(config Config, shardIDs []uint32, now time.Duration) *rollout.Machine {
	return rollout.New(rollout.Config{
		Self:                config.Self.ID,
		ReplicasFinishFirst: config.ReplicasFinishFirst,
		LeaseDuration:       config.Times.LeaseDuration,
		LeaseMargin:         config.Times.LeaseMargin,
		CommandGap:          config.Times.CommandGap,
		WeightsDeadline:     config.Times.WeightsDeadline,
	}, shardIDs, now)
}

// tickRollouts lets each shard that this node leads make its next moves.
func (m *Machine) tickRollouts() {
	if !m.rollout.Due(m.now) {
		return
	}
	for _, id := range m.shardIDs {
		hosted := m.shards[id]
		if hosted == nil || !hosted.IsLeader() {
			continue
		}
		m.rollout.Lead(m.now, id, hosted.Term())
		m.pruneNodes(hosted)
		if service, ok := hosted.State().(*shardstate.Service); ok {
			m.rollOutShard(hosted, service)
		}
	}
}

// rollOutShard moves the replicas of the pools whose service hashes to a shard. It
// decides only from a state in which everything in the log has been applied.
func (m *Machine) rollOutShard(hosted *shards.Shard, service *shardstate.Service) {
	if !m.backends.known || !hosted.AllApplied() {
		return
	}
	configuration := m.received.Configuration()
	var pools []rollout.Pool
	for _, pool := range configuration.GetPools() {
		if shardstate.ShardOfService(pool.GetService(), m.config.ServiceShards) == hosted.ID() {
			pools = append(pools, rollout.Pool{Config: pool, Endpoints: m.backends.services[pool.GetService()]})
		}
	}
	led := ledServices{hostedShard: m.hostedOf(hosted), services: service}
	change := m.rollout.Advance(m.now, led, pools, shardstate.EvacuatedZones(configuration))
	if change != nil {
		hosted.ProposeCommand(m.now, &controlpb.Command{Command: &controlpb.Command_SetReplicas{SetReplicas: change}})
	}
}

// CommandDone takes the outcome of a command.
func (m *Machine) CommandDone(now time.Duration, command Command, outcome CommandOutcome) Output {
	m.now = now
	m.rollout.CommandDone(now, command, outcome)
	return m.takeOutput()
}

// SetReplicaReport takes what a replica reported of itself.
func (m *Machine) SetReplicaReport(now time.Duration, report ReplicaReport) Output {
	m.now = now
	m.rollout.SetReport(now, report)
	return m.takeOutput()
}

// ReplicaReportFailed reports that a replica gave no report.
func (m *Machine) ReplicaReportFailed(now time.Duration, address string) Output {
	m.now = now
	m.rollout.ReportFailed(now, address)
	return m.takeOutput()
}
