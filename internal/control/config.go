package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/internal/control/storagelimit"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// Durations of the control machine. They are chosen so that an operator's order is
// acknowledged well within two seconds while nodes join, leave and fail.
const (
	// DefaultTickEvery is how often a driver calls Tick.
	DefaultTickEvery = 20 * time.Millisecond
	// DefaultHeartbeatEvery is the time between two heartbeats of a leader or a member.
	DefaultHeartbeatEvery = 100 * time.Millisecond
	// DefaultElectionTimeout is how long an unresponsive leader keeps its leadership. A
	// heartbeat and its response may each wait for a write, so that the time-out must
	// exceed two slow writes. Otherwise a group whose disks all take half a second for a
	// write would have no leader for most of the time.
	DefaultElectionTimeout = 1500 * time.Millisecond
	// DefaultLeaseDuration is the nominal length of the lease under which a leader
	// commands replicas, counted from when a quorum last confirmed its leadership.
	DefaultLeaseDuration = time.Second
	// DefaultLeaseMargin covers clocks that run at slightly different rates.
	DefaultLeaseMargin = 300 * time.Millisecond
	// DefaultFenceAfter is how long a node goes on serving without acknowledgements from
	// its monitors.
	DefaultFenceAfter = time.Second
	// DefaultFenceMargin is how much longer than the fence time-out other nodes wait
	// before they rely on a node having stopped serving.
	DefaultFenceMargin = 200 * time.Millisecond
	// DefaultAcknowledgeTimeout is how long the leader waits for every serving
	// node to confirm a revision before it answers that the operator's order is pending.
	DefaultAcknowledgeTimeout = 4 * time.Second
	// failOpenConfirmationTimeout is how long a committed change waits for confirmations if
	// nodes go on serving while partitioned (Config.FailOpen). The wait must be bounded,
	// because an unreachable node can't be distinguished from one that is about to confirm.
	failOpenConfirmationTimeout = 600 * time.Millisecond
	// minFailOpenElectionTimeout and maxFailOpenElectionTimeout bound the ElectionTimeout of
	// FailOpenTimes. The time-out must be long enough for two heartbeats and two slow
	// writes.
	minFailOpenElectionTimeout = 600 * time.Millisecond
	maxFailOpenElectionTimeout = DefaultElectionTimeout
	// failOpenDigestEvery is the DigestEvery of FailOpenTimes. It may be longer than
	// DefaultDigestEvery, because leaders send states directly to nodes that the relay tree
	// did not reach.
	failOpenDigestEvery = 400 * time.Millisecond
	// electionTimeoutsPerContact is how many election time-outs fit into the time for
	// which an unresponsive node still counts as in contact. One passes until the voters
	// notice that the leader is unresponsive, and one while they campaign one after the
	// other.
	electionTimeoutsPerContact = 3
	// DefaultRequestTimeout is how long a node tries to get the answer of a leader to an
	// operator's request.
	DefaultRequestTimeout = 8 * time.Second
	// DefaultRetryEvery is how long a node waits for the response to a message before
	// it asks the next group member.
	DefaultRetryEvery = 300 * time.Millisecond
	// DefaultConfirmEvery is how often a leader requests the confirmations that it still
	// waits for, in case a message was lost.
	DefaultConfirmEvery = 250 * time.Millisecond
	// DefaultDigestEvery is how often the nodes of the relay tree compare revisions.
	DefaultDigestEvery = 200 * time.Millisecond
	// DefaultEndpointReadEvery is how often the platform's endpoint list is read. One node
	// reads it and passes it on to all others.
	DefaultEndpointReadEvery = listing.DefaultReadEvery
	// DefaultCommandGap is the minimum time between the commands of two successive leaders
	// to the same replica.
	DefaultCommandGap = 3 * time.Second
)

const (
	// ConfigurationShard is the shard that holds the configuration.
	ConfigurationShard = shardstate.ConfigurationShard
	// DefaultServiceShards is the number of shards that services hash to.
	DefaultServiceShards uint32 = 4
	// serviceGroupSize is the number of nodes that replicate one service shard.
	serviceGroupSize = 3
	// confirmRepeatPeriods is the interval, in ConfirmEvery periods, at which a node
	// repeats its confirmation although nothing has changed and no leader has asked.
	confirmRepeatPeriods = 8
	// relayFanOut is the maximum number of children of a node in the relay tree.
	relayFanOut = 4
	// seededMaxVoters is the maximum number of voters of a group whose members are taken
	// from the table of members. Nine voters tolerate the loss of four, and two more may
	// take the place of voters on machines that are about to be removed.
	seededMaxVoters = 11
	// defaultMaxLogEntries is how many applied entries a shard keeps in its log for members
	// that lag behind.
	defaultMaxLogEntries = 1024
)

// Times groups the durations of a control machine, so that tests and
// simulations can shorten them.
type Times struct {
	// HeartbeatEvery is the time between two heartbeats of a leader or a member.
	HeartbeatEvery time.Duration
	// ElectionTimeout is how long an unresponsive leader keeps its leadership.
	ElectionTimeout time.Duration
	// LeaseDuration is the nominal length of the lease under which a leader commands
	// replicas, counted from when a quorum last confirmed its leadership. The leader stops
	// LeaseMargin before the end of the lease. A later leader waits for LeaseDuration and
	// LeaseMargin after its election.
	LeaseDuration time.Duration
	LeaseMargin   time.Duration
	// FenceAfter is how long a node goes on serving without acknowledgements from its
	// monitors, and FenceMargin how much longer others wait before they rely on the node
	// having stopped.
	FenceAfter  time.Duration
	FenceMargin time.Duration
	// AcknowledgeTimeout is how long a change waits for confirmations before it is answered
	// as pending.
	AcknowledgeTimeout time.Duration
	// RequestTimeout is how long an operator's request waits for the leader's reply.
	RequestTimeout time.Duration
	// RetryEvery is how long a message waits for its response before it is sent again.
	RetryEvery time.Duration
	// ConfirmEvery is how often a leader requests overdue confirmations.
	ConfirmEvery time.Duration
	// DigestEvery is how often the nodes of the relay tree compare revisions.
	DigestEvery time.Duration
	// EndpointReadEvery is how often one node reads the platform's endpoint list for all.
	EndpointReadEvery time.Duration
	// CommandGap is the minimum time between the commands of two successive leaders to the
	// same replica.
	CommandGap time.Duration
	// WeightsDeadline is how long after a weight version was named for a pool nodes stop
	// sending requests to replicas that do not run it; 0 means never.
	WeightsDeadline time.Duration
}

// DefaultTimes returns the default durations. Nodes that go on serving while partitioned use
// FailOpenTimes instead.
func DefaultTimes() Times {
	return Times{
		HeartbeatEvery:     DefaultHeartbeatEvery,
		ElectionTimeout:    DefaultElectionTimeout,
		LeaseDuration:      DefaultLeaseDuration,
		LeaseMargin:        DefaultLeaseMargin,
		FenceAfter:         DefaultFenceAfter,
		FenceMargin:        DefaultFenceMargin,
		AcknowledgeTimeout: DefaultAcknowledgeTimeout,
		RequestTimeout:     DefaultRequestTimeout,
		RetryEvery:         DefaultRetryEvery,
		ConfirmEvery:       DefaultConfirmEvery,
		DigestEvery:        DefaultDigestEvery,
		EndpointReadEvery:  DefaultEndpointReadEvery,
		CommandGap:         DefaultCommandGap,
	}
}

// FailOpenTimes returns the durations of nodes that go on serving while partitioned
// (Config.FailOpen). Contact is the time within which an unresponsive leader is to be
// replaced, and acknowledge the time within which requests are answered.
func FailOpenTimes(contact, acknowledge time.Duration) Times {
	times := DefaultTimes()
	times.ElectionTimeout = min(max(contact/electionTimeoutsPerContact, minFailOpenElectionTimeout), maxFailOpenElectionTimeout)
	times.DigestEvery = failOpenDigestEvery
	times.AcknowledgeTimeout = acknowledge
	times.RequestTimeout = acknowledge
	return times
}

// Config sets up a Machine.
type Config struct {
	// Self describes this node, with the incarnation that it starts with.
	Self member.Info
	// Seeds are internal addresses of up to three other nodes.
	Seeds []string
	// Seeded means that the core nodes (the nodes with disks) are taken from the table of
	// members instead of Group. Each of them follows all shards and gets a vote when it has
	// caught up.
	Seeded bool
	// FailOpen lets the node serve with the newest configuration that reached it,
	// whether or not it is partitioned. An acknowledgement then waits only for the live
	// nodes, and for failOpenConfirmationTimeout at most.
	FailOpen bool
	// Group holds the IDs of all core nodes, in the order that all nodes agree on. If
	// Seeded is set, it holds the founding voters on nodes that were founders, and is
	// empty on others.
	Group []member.ID
	// GroupZones holds the zones of the nodes in Group, as far as known. It must
	// be the same on every node.
	GroupZones map[member.ID]string
	// ServiceShards is the number of shards that services hash to.
	ServiceShards uint32
	// Learner is set on a node whose disk has never been initialised: it
	// follows the shards and must not vote.
	Learner bool
	// DiskIncarnation identifies the contents of the data folder, see
	// replication.Config.Incarnation. Zero means the founding incarnation, or the
	// incarnation of this process if Learner is set.
	DiskIncarnation uint64
	// Times are the durations that the machine uses.
	Times Times
	// ReplicasFinishFirst means that a replica that is commanded to load weights first
	// finishes its running requests. Until it has loaded the weights, it refuses new
	// requests as not run. Nodes therefore need not drain it.
	ReplicasFinishFirst bool
	// MaxLogEntries is how many applied entries a shard keeps in its log for members that
	// lag behind; 0 means the default.
	MaxLogEntries int
	// Limits bound the state and the log of a shard in bytes. The zero value means the
	// limits of a machine with more disk and memory than they need (storagelimit.For).
	Limits storagelimit.Limits
}

// diskIncarnation returns DiskIncarnation, or its default if it is zero.
func (c Config) diskIncarnation() uint64 {
	switch {
	case c.DiskIncarnation != 0:
		return c.DiskIncarnation
	case c.Learner:
		return uint64(c.Self.Incarnation)
	default:
		return replication.FoundingIncarnation
	}
}

// limits returns Limits, or the default if Limits is the zero value.
func (c Config) limits() storagelimit.Limits {
	if c.Limits == (storagelimit.Limits{}) {
		return storagelimit.For(storagelimit.Machine{})
	}
	return c.Limits
}

// logEntries returns MaxLogEntries, or the default if it is not positive.
func (c Config) logEntries() int {
	if c.MaxLogEntries <= 0 {
		return defaultMaxLogEntries
	}
	return c.MaxLogEntries
}
