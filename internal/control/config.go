package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/internal/control/storagelimit"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// Times of the control machine. They are chosen so that an order is
// acknowledged well within two seconds while nodes come and go.
const (
	// DefaultTickEvery is how often a driver calls Tick.
	DefaultTickEvery = 20 * time.Millisecond
	// DefaultHeartbeatEvery is how often leaders and members are heard from.
	DefaultHeartbeatEvery = 100 * time.Millisecond
	// DefaultElectionTimeout is how long an unresponsive leader keeps its leadership. A
	// heartbeat and its response may each wait for a write, so that the time-out must
	// exceed two slow writes. Otherwise a group whose disks all take half a second
	// would have no leader for most of the time.
	DefaultElectionTimeout = 1500 * time.Millisecond
	// DefaultLeaseDuration is how long a leader may command replicas after a
	// quorum has last confirmed it.
	DefaultLeaseDuration = time.Second
	// DefaultLeaseMargin covers clocks that run at slightly different rates.
	DefaultLeaseMargin = 300 * time.Millisecond
	// DefaultFenceAfter is how long a node serves without its monitors.
	DefaultFenceAfter = time.Second
	// DefaultFenceMargin is added before others count on the fence.
	DefaultFenceMargin = 200 * time.Millisecond
	// DefaultAcknowledgeTimeout is how long the leader waits for every serving
	// node to confirm a revision before it answers that the order is pending.
	DefaultAcknowledgeTimeout = 4 * time.Second
	// failOpenConfirmationTimeout is how long a committed change waits for confirmations
	// where nodes go on serving while partitioned: a node that can't be reached can't be
	// distinguished from one that is about to confirm.
	failOpenConfirmationTimeout = 600 * time.Millisecond
	// minFailOpenElectionTimeout and maxFailOpenElectionTimeout bound the ElectionTimeout of
	// FailOpenTimes. It has to hold two heartbeats and two slow writes.
	minFailOpenElectionTimeout = 600 * time.Millisecond
	maxFailOpenElectionTimeout = DefaultElectionTimeout
	// failOpenDigestEvery may be longer than DefaultDigestEvery, as leaders send states
	// directly to nodes that the relay tree did not reach.
	failOpenDigestEvery = 400 * time.Millisecond
	// electionTimeoutsPerContact is how many election timeouts fit into the time for
	// which an unresponsive node counts as in contact: one to notice that a leader is
	// unresponsive, and one for the voters to follow each other.
	electionTimeoutsPerContact = 3
	// DefaultRequestTimeout is how long a node looks for a leader that answers an
	// operator's request.
	DefaultRequestTimeout = 8 * time.Second
	// DefaultRetryEvery is how long a node waits for the response to a message before
	// it asks the next group member.
	DefaultRetryEvery = 300 * time.Millisecond
	// DefaultConfirmEvery is how often a leader asks the nodes whose
	// confirmation it waits for, in case one was lost.
	DefaultConfirmEvery = 250 * time.Millisecond
	// DefaultDigestEvery is how often relay nodes compare revisions.
	DefaultDigestEvery = 200 * time.Millisecond
	// DefaultEndpointReadEvery is how often the platform's list is read, by one node
	// for all.
	DefaultEndpointReadEvery = listing.DefaultReadEvery
	// DefaultCommandGap is how far apart the commands of two leaders to one replica
	// are.
	DefaultCommandGap = 3 * time.Second
)

const (
	// ConfigurationShard is the shard that holds the configuration.
	ConfigurationShard = shardstate.ConfigurationShard
	// DefaultServiceShards is the number of shards that services hash to.
	DefaultServiceShards uint32 = 4
	// serviceGroupSize is the number of nodes that hold one service shard.
	serviceGroupSize = 3
	// confirmRepeatPeriods is how many ConfirmEvery periods lie between two
	// confirmations that nobody asked for.
	confirmRepeatPeriods = 8
	// relayFanOut bounds the children of a node in the relay tree.
	relayFanOut = 4
	// seededMaxVoters bounds the voters of a group that follows the membership:
	// nine bear the loss of four, and two more may stand in for machines that are
	// about to be taken away.
	seededMaxVoters = 11
	// defaultMaxLogEntries is how many applied entries a shard keeps for members that
	// lag behind.
	defaultMaxLogEntries = 1024
)

// Times groups the durations of a control machine, so that tests and
// simulations may shorten them.
type Times struct {
	// HeartbeatEvery is the time between two heartbeats of a leader or a member.
	HeartbeatEvery time.Duration
	// ElectionTimeout is how long an unresponsive leader keeps its leadership.
	ElectionTimeout time.Duration
	// LeaseDuration is how long a leader may command replicas after a quorum has last
	// confirmed it, and LeaseMargin what others wait beyond that.
	LeaseDuration time.Duration
	LeaseMargin   time.Duration
	// FenceAfter is how long a node serves without its monitors, and FenceMargin what
	// others wait beyond that.
	FenceAfter  time.Duration
	FenceMargin time.Duration
	// AcknowledgeTimeout is how long a change waits for confirmations.
	AcknowledgeTimeout time.Duration
	// RequestTimeout is how long an operator's request waits for the leader's reply.
	RequestTimeout time.Duration
	// RetryEvery is how long a message waits for its response before it is sent again.
	RetryEvery time.Duration
	// ConfirmEvery is how often a leader asks for overdue confirmations.
	ConfirmEvery time.Duration
	// DigestEvery is how often relay nodes compare revisions.
	DigestEvery time.Duration
	// EndpointReadEvery is how often one node reads the platform's list.
	EndpointReadEvery time.Duration
	// CommandGap is how far apart the commands of two leaders to one replica are.
	CommandGap time.Duration
	// WeightsDeadline is how long after a version was named nodes give up the
	// replicas that do not run it; 0 means never.
	WeightsDeadline time.Duration
}

// DefaultTimes returns the times that nodes run with.
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

// FailOpenTimes returns the times of nodes that go on serving while partitioned. An
// unresponsive leader is replaced within contact, and requests are answered within
// acknowledge.
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
	// Self describes this node, in the incarnation in which it starts.
	Self member.Info
	// Seeds are internal addresses of up to three other nodes.
	Seeds []string
	// Seeded means that the nodes with disks are those in the table of members, in
	// place of Group. They follow all shards and get a vote when they have caught up.
	Seeded bool
	// FailOpen lets the node serve by the newest configuration that reached it,
	// whether or not it is partitioned. An acknowledgement waits for the live nodes,
	// and for failOpenConfirmationTimeout at most.
	FailOpen bool
	// Group holds the IDs of all nodes with disks, in the agreed order. If Seeded
	// is set, it holds the founding voters on nodes that were founders, and
	// nobody on others.
	Group []member.ID
	// GroupZones holds the zones of the nodes in Group, as far as known. It must
	// be the same on every node.
	GroupZones map[member.ID]string
	// ServiceShards is the number of shards that services hash to.
	ServiceShards uint32
	// Learner is set on a node whose disk has never been initialised: it
	// follows the shards and must not vote.
	Learner bool
	// DiskIncarnation names the data folder, see replication.Config. Zero
	// stands for the founding incarnation, or for one of this process alone if
	// Learner is set.
	DiskIncarnation uint64
	// Times are the durations to run with.
	Times Times
	// ReplicasFinishFirst means that a replica which is ordered to load weights
	// finishes its requests first, and refuses others until it has loaded, as not
	// run. So it need not be drained by the nodes.
	ReplicasFinishFirst bool
	// MaxLogEntries is how many applied entries a shard keeps for members that lag
	// behind; 0 means the default.
	MaxLogEntries int
	// Limits bound the state and the log of a shard in bytes; the zero value stands for
	// those of a machine that gives more than they need.
	Limits storagelimit.Limits
}

// diskIncarnation returns DiskIncarnation, or what zero stands for.
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

// limits is Limits or its default.
func (c Config) limits() storagelimit.Limits {
	if c.Limits == (storagelimit.Limits{}) {
		return storagelimit.For(storagelimit.Machine{})
	}
	return c.Limits
}

// logEntries is MaxLogEntries or its default.
func (c Config) logEntries() int {
	if c.MaxLogEntries <= 0 {
		return defaultMaxLogEntries
	}
	return c.MaxLogEntries
}
