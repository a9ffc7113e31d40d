package rollout

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
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
}

// Machine rolls out weights in the service shards that a node leads. It owns the
// reports of replicas and the progress of each roll-out. It is not safe for
// concurrent use.
type Machine struct {
	config  Config
	now     time.Duration
	nextRun time.Duration
	// shardIDs are the shards that this node hosts, and shards what it remembers of
	// each.
	shardIDs []uint32
	shards   map[uint32]*shardState
	// evacuated are the zones without requests, as of the last Advance.
	evacuated shardstate.ZoneSet
	// reports are the newest of each replica, and requests the state of those for the
	// next.
	reports  map[string]ReplicaReport
	requests map[string]*reportRequest
	output   Output
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
		now:      now,
		shardIDs: shardIDs,
		shards:   map[uint32]*shardState{},
		reports:  map[string]ReplicaReport{},
		requests: map[string]*reportRequest{},
	}
	for _, id := range shardIDs {
		machine.shards[id] = newShardState(0, now)
	}
	return machine
}

// Due reports whether the next moves are to be looked for now, and if so takes it that
// they are.
func (m *Machine) Due(now time.Duration) bool {
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
	m.now = now
	m.wake()
}

func (m *Machine) wake() {
	for _, id := range m.shardIDs {
		if len(m.shards[id].progress) > 0 {
			m.nextRun = m.now
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
// configuration names, and returns the rows that change, or nil if none does. The
// node must have applied everything in the shard's log, so that no change is made
// from rows that another change is about to replace.
func (m *Machine) Advance(now time.Duration, shard Shard, pools []Pool, evacuated shardstate.ZoneSet) *controlpb.SetReplicas {
	m.now = now
	m.evacuated = evacuated
	state := m.shards[shard.ID()]
	change := &controlpb.SetReplicas{}
	endpoints := map[string]listing.Replica{}
	for _, pool := range pools {
		for _, replica := range pool.Endpoints {
			endpoints[replica.Address] = replica
		}
		m.advancePool(shard, state, pool, change)
	}
	state.pruneProgress(shard.Rows())
	change.Removed = m.obsoleteRows(state, shard.Rows(), endpoints)
	if len(change.Replicas) == 0 && len(change.Removed) == 0 {
		return nil
	}
	return change
}

// Take returns what has been gathered since the last call.
func (m *Machine) Take() Output {
	output := m.output
	m.output = Output{}
	return output
}
