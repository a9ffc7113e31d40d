package replication

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/lease"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// minHeartbeatsPerElection is how many heartbeats a leader must be able to send within one
// ElectionTimeout, so that the loss of one heartbeat does not cause an election.
const minHeartbeatsPerElection = 2

const (
	// DefaultMaxVoters tolerates the loss of four voters at once.
	DefaultMaxVoters = 9
	// DefaultRemoveAfter is longer than the restart of a process takes.
	DefaultRemoveAfter = 1500 * time.Millisecond
)

// Config contains the settings of a member of a group.
type Config struct {
	// Self is the member that runs this state machine.
	Self member.ID
	// Incarnation identifies the durable state that Self is started with. It is
	// FoundingIncarnation on the disks that the group is founded with. A disk that replaces a
	// lost one needs an incarnation that differs from all earlier ones of the member; it must
	// be durable before New is called.
	Incarnation uint64
	// Founders are the founding voters in slot order, which must be the same on every
	// founder. Earlier members are preferred as leaders. It is empty on a member that joins a
	// group, and may be empty on any member whose log or snapshot is not empty: the log
	// determines the present voters, and its first entry contains the founders. A member that
	// knows no group is a learner.
	Founders []member.ID
	// MaxVoters is the number of voters up to which the leader adds voters automatically;
	// zero means DefaultMaxVoters.
	MaxVoters int
	// RemoveAfter is how long a voter must have been silent before the leader removes it from
	// a group with an even number of voters; zero means DefaultRemoveAfter.
	RemoveAfter time.Duration
	// HeartbeatEvery is the interval between two heartbeats of a leader.
	HeartbeatEvery time.Duration
	// ElectionTimeout is how long voters wait for a leader before the first live voter
	// campaigns, and how long a leader that hears from no majority stays the leader.
	ElectionTimeout time.Duration
	// LeaseDuration is the length of the command lease; zero disables it.
	LeaseDuration time.Duration
	// LeaseMargin covers the difference of the rates of two clocks, see package lease.
	LeaseMargin time.Duration
	// MaxLogEntries is how many of the entries covered by the snapshot are kept, so that
	// slightly lagging followers need no snapshot.
	MaxLogEntries int
	// MaxLogBytes limits the total size of the commands in these entries, in bytes; zero
	// means no limit. It also limits the size of the commands in flight to one follower.
	MaxLogBytes int
	// Learner makes the member a permanent learner, which never votes and is never given a
	// vote. It is not needed for a member that lost its durable state: such a member needs
	// only a new Incarnation, and the leader gives it its vote back when that is safe.
	Learner bool
}

func (c Config) leaseTiming() lease.Timing {
	return lease.Timing{Duration: c.LeaseDuration, Margin: c.LeaseMargin}
}

// withDefaults returns the settings with defaults in place of zero values.
func (c Config) withDefaults() Config {
	c.Founders = slices.Clone(c.Founders)
	if c.MaxVoters == 0 {
		c.MaxVoters = DefaultMaxVoters
	}
	if c.RemoveAfter == 0 {
		c.RemoveAfter = DefaultRemoveAfter
	}
	return c
}

func (c Config) check() error {
	if c.Self == "" {
		return &ConfigError{Field: "Self", Message: "is empty: set the ID of this member"}
	}
	if c.Incarnation == 0 {
		return &ConfigError{Field: "Incarnation", Message: "is zero: set the incarnation of the durable state, FoundingIncarnation on a founder"}
	}
	if err := checkDistinct(c.Founders); err != nil {
		return err
	}
	if c.MaxVoters < 0 {
		return &ConfigError{Field: "MaxVoters", Message: "must not be negative"}
	}
	if c.RemoveAfter < 0 {
		return &ConfigError{Field: "RemoveAfter", Message: "must not be negative"}
	}
	if c.HeartbeatEvery <= 0 {
		return &ConfigError{Field: "HeartbeatEvery", Message: "must be positive"}
	}
	if c.ElectionTimeout < minHeartbeatsPerElection*c.HeartbeatEvery {
		return &ConfigError{Field: "ElectionTimeout", Message: "must be at least twice HeartbeatEvery"}
	}
	if c.MaxLogEntries < 0 {
		return &ConfigError{Field: "MaxLogEntries", Message: "must not be negative"}
	}
	if c.MaxLogBytes < 0 {
		return &ConfigError{Field: "MaxLogBytes", Message: "must not be negative"}
	}
	if err := c.leaseTiming().Check(); err != nil {
		return &ConfigError{Field: "LeaseDuration", Message: err.Error()}
	}
	return nil
}

func checkDistinct(group []member.ID) error {
	sorted := slices.Sorted(slices.Values(group))
	if len(slices.Compact(sorted)) != len(group) {
		return &ConfigError{Field: "Founders", Message: "lists a member twice: list each once"}
	}
	if slices.Contains(group, "") {
		return &ConfigError{Field: "Founders", Message: "lists an empty ID: set the ID of every member"}
	}
	return nil
}
