package rollout

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/namedweights"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// rolloutInterval is the time between two runs of the roll-outs.
const rolloutInterval = 100 * time.Millisecond

// Config sets up a Machine.
type Config struct {
	Self member.ID
	// ReplicasFinishFirst means that replicas complete their running requests before
	// they load weights, so that they need not be drained.
	ReplicasFinishFirst bool
	// LeaseDuration and LeaseMargin are the settings of the replication groups of the
	// same names, see replication.Config.
	LeaseDuration time.Duration
	LeaseMargin   time.Duration
	// CommandGap is the least time between the commands of two leaders to one replica.
	CommandGap time.Duration
	// WeightsDeadline is how long after a version was named nodes stop sending requests
	// to the replicas that do not run it; 0 means never.
	WeightsDeadline time.Duration
}

// Shard is a service shard that this node leads.
type Shard interface {
	ID() uint32
	Term() uint64
	// Rows returns the rows of the replicas, sorted by address. Callers must not modify
	// them.
	Rows() []*controlpb.ReplicaState
	// ConfirmedEverywhere reports whether no node can serve a revision below the given
	// one any more.
	ConfirmedEverywhere(revision uint64) bool
	// DrainedEverywhere reports whether no node has a running request on a replica that
	// the given revision takes out of service.
	DrainedEverywhere(revision uint64) bool
	// HasCommandLease reports whether this node is entitled to command replicas at the
	// given time.
	HasCommandLease(at time.Duration) bool
}

// Pool is a pool of the configuration with its back ends.
type Pool struct {
	Config    *ridgeswitchv1.Pool
	Endpoints []listing.Replica
	// Named contains the versions that were named for the pool, in the order in which
	// they were named. Machine does not modify it.
	Named []namedweights.Version
}

// Machine rolls out weights in the service shards that a node leads. It owns the volatile
// state of the leader of each shard, the reports of replicas and the time of the next run.
// It is not safe for concurrent use.
type Machine struct {
	config  Config
	nextRun time.Duration
	// shardIDs contains the shards that this node hosts, and shards the state of each.
	shardIDs []uint32
	shards   map[uint32]*shardState
	reports  *replicaReports
	// commands contains the commands to send.
	commands []Command
}

// Output is what a node has to do for its roll-outs.
type Output struct {
	// Commands contains the commands to send to replicas. The caller passes the outcome
	// of each one to CommandDone.
	Commands []Command
	// Reports contains the requests for reports to send to replicas. The caller calls
	// SetReport or ReportFailed for each one.
	Reports []ReportRequest
}

// New returns the machine of a node that hosts the given shards.
func New(config Config, shardIDs []uint32, now time.Duration) *Machine {
	machine := &Machine{
		config:   config,
		shardIDs: shardIDs,
		shards:   map[uint32]*shardState{},
		reports:  newReplicaReports(),
	}
	for _, id := range shardIDs {
		machine.shards[id] = newShardState(0, now)
	}
	return machine
}

// BeginRun reports whether a run is due. If so, the caller must call Lead and Advance for
// the shards that it leads; the time of the next run counts from this call.
func (m *Machine) BeginRun(now time.Duration) bool {
	if now < m.nextRun {
		return false
	}
	m.nextRun = now + rolloutInterval
	return true
}

// RunSoon makes the next run due now.
func (m *Machine) RunSoon(now time.Duration) { m.nextRun = now }

// Wake makes the next run due now if any replica is out of service, since the progress of
// such a replica may depend on the input that the node has just received.
func (m *Machine) Wake(now time.Duration) {
	for _, id := range m.shardIDs {
		if len(m.shards[id].progress) > 0 {
			m.nextRun = now
			return
		}
	}
}

// Lead resets the state of a shard if this node leads it in another term than before.
func (m *Machine) Lead(now time.Duration, shardID uint32, term uint64) {
	if m.shards[shardID].term != term {
		m.shards[shardID] = newShardState(term, now)
	}
}

// Advance takes the next steps towards the versions that the configuration names for a
// shard's pools. It returns the changes of rows and the ages of weights to replicate, or nil
// if there are none. The node must have applied all entries of the shard's log, so that
// Advance does not decide from rows that a pending change replaces.
func (m *Machine) Advance(now time.Duration, shard Shard, pools []Pool, evacuated shardstate.ZoneSet) *controlpb.SetReplicas {
	state := m.shards[shard.ID()]
	state.recordRowsAtStart(shard.Rows())
	change := &controlpb.SetReplicas{}
	endpoints := map[string]listing.Replica{}
	for _, pool := range pools {
		state.ages.update(now, pool.Config.GetName(), pool.Named)
		for _, replica := range pool.Endpoints {
			endpoints[replica.Address] = replica
		}
		rolling := &poolRollout{
			config:    m.config,
			now:       now,
			shard:     shard,
			state:     state,
			reports:   m.reports,
			pool:      pool.Config,
			named:     pool.Named,
			pace:      state.paceFor(pool.Config, now, m.config),
			evacuated: evacuated,
		}
		rolling.addReplicas(pool.Endpoints)
		change.Replicas = append(change.Replicas, rolling.advance()...)
		m.commands = append(m.commands, rolling.commands...)
	}
	state.pruneProgress(shard.Rows())
	change.Removed = state.obsoleteRows(now, shard.Rows(), endpoints)
	change.WeightsAges = state.ages.toReplicate(now, pools, m.config.WeightsDeadline)
	if len(change.Replicas) == 0 && len(change.Removed) == 0 && len(change.WeightsAges) == 0 {
		return nil
	}
	return change
}

// CommandDone handles the outcome of a command.
func (m *Machine) CommandDone(now time.Duration, command Command, outcome CommandOutcome) {
	for _, id := range m.shardIDs {
		progress := m.shards[id].progress[command.Address]
		if progress == nil || !progress.inFlight || progress.token != command.Token {
			continue
		}
		progress.commandDone(now, outcome)
		if outcome == CommandUpToDate {
			m.reports.record(ReplicaReport{
				Address:       command.Address,
				Instance:      command.Instance,
				Incarnation:   m.reports.newest[command.Address].Incarnation,
				WeightVersion: command.WeightVersion,
				MeasuredAt:    now,
			})
		}
	}
	m.Wake(now)
}

// SetReport handles the report of a replica.
func (m *Machine) SetReport(now time.Duration, report ReplicaReport) {
	m.reports.receive(report)
	m.Wake(now)
}

// ReportFailed records that a request for a replica's report failed.
func (m *Machine) ReportFailed(now time.Duration, address string) { m.reports.fail(now, address) }

// ForgetAbsent drops the reports of replicas that left the platform's list.
func (m *Machine) ForgetAbsent(replicas []listing.Replica) { m.reports.forgetAbsent(replicas) }

// Take returns and removes the commands and requests to send.
func (m *Machine) Take() Output {
	output := Output{Commands: m.commands, Reports: m.reports.takeDue()}
	m.commands = nil
	return output
}
