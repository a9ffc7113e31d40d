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

// rolloutInterval is how often the leader of a shard looks for its next moves.
const rolloutInterval = 100 * time.Millisecond

// Config sets up a Machine.
type Config struct {
	Self member.ID
	// ReplicasFinishFirst means that replicas finish their requests by themselves
	// before they load weights, so that they need not be drained.
	ReplicasFinishFirst bool
	// LeaseDuration and LeaseMargin are those of the replica groups, see
	// replication.Config.
	LeaseDuration time.Duration
	LeaseMargin   time.Duration
	// CommandGap is how far apart the commands of two leaders to one replica are.
	CommandGap time.Duration
	// WeightsDeadline is how long after a version was named nodes give up the
	// replicas that do not run it; 0 means never.
	WeightsDeadline time.Duration
}

// Shard is what a roll-out needs of a service shard that this node leads.
type Shard interface {
	ID() uint32
	Term() uint64
	// Rows returns the rows of the replicas, sorted by address; read only.
	Rows() []*controlpb.ReplicaState
	// ConfirmedEverywhere reports whether no node can serve a revision below the given
	// one any more.
	ConfirmedEverywhere(revision uint64) bool
	// DrainedEverywhere reports whether no node has a request left on a replica that
	// the given revision keeps requests from.
	DrainedEverywhere(revision uint64) bool
	// HasCommandLease reports whether this node's right to command replicas lasts at an
	// instant.
	HasCommandLease(at time.Duration) bool
}

// Pool is a pool of the configuration with its back ends.
type Pool struct {
	Config    *ridgeswitchv1.Pool
	Endpoints []listing.Replica
	// Named are the versions that were named for the pool, in that order; read only.
	Named []namedweights.Version
}

// Machine rolls out weights in the service shards that a node leads. It owns what the
// leader remembers of each shard, the reports of replicas, and when the next moves are
// looked for. It is not safe for concurrent use.
type Machine struct {
	config  Config
	nextRun time.Duration
	// shardIDs are the shards that this node hosts, and shards what it remembers of
	// each.
	shardIDs []uint32
	shards   map[uint32]*shardState
	reports  *replicaReports
	// commands are those to send.
	commands []Command
}

// Output is what a node has to do for its roll-outs.
type Output struct {
	// Commands are the orders to replicas; the outcome of each is passed to
	// CommandDone.
	Commands []Command
	// Reports are the replicas that are to be asked for their reports. Each request
	// is answered by SetReport or ReportFailed.
	Reports []ReportRequest
}

// New returns the machine of a node that hosts some shards.
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

// BeginRun reports whether it is time to look for the next moves. If so, the caller must do
// it now: the time of the next run is counted from this call.
func (m *Machine) BeginRun(now time.Duration) bool {
	if now < m.nextRun {
		return false
	}
	m.nextRun = now + rolloutInterval
	return true
}

// RunSoon has the next moves looked for at the next tick.
func (m *Machine) RunSoon(now time.Duration) { m.nextRun = now }

// Wake has the next moves looked for at the next tick, if any replica is being moved:
// something has come that one may wait for.
func (m *Machine) Wake(now time.Duration) {
	for _, id := range m.shardIDs {
		if len(m.shards[id].progress) > 0 {
			m.nextRun = now
			return
		}
	}
}

// Lead begins anew with a shard that this node has come to lead in another term.
func (m *Machine) Lead(now time.Duration, shardID uint32, term uint64) {
	if m.shards[shardID].term != term {
		m.shards[shardID] = newShardState(term, now)
	}
}

// Advance moves the replicas of a shard's pools towards the versions that the
// configuration names, and returns the rows that change and the ages of weights that are to
// be replicated, or nil if there is nothing of that. The node must have applied everything in the shard's log, so that no change is made
// from rows that another change is about to replace.
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

// CommandDone takes the outcome of a command.
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

// SetReport takes what a replica reported of itself.
func (m *Machine) SetReport(now time.Duration, report ReplicaReport) {
	m.reports.receive(report)
	m.Wake(now)
}

// ReportFailed reports that a replica gave no report.
func (m *Machine) ReportFailed(now time.Duration, address string) { m.reports.fail(now, address) }

// ForgetAbsent drops the reports of replicas that left the platform's list.
func (m *Machine) ForgetAbsent(replicas []listing.Replica) { m.reports.forgetAbsent(replicas) }

// Take returns what has been gathered since the last call.
func (m *Machine) Take() Output {
	output := Output{Commands: m.commands, Reports: m.reports.takeDue()}
	m.commands = nil
	return output
}
