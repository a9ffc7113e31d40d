package replication

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/lease"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// minHeartbeatsPerElection is how many heartbeats a leader must be able to send
// within one ElectionTimeout, so that one lost heartbeat does no harm.
const minHeartbeatsPerElection = 2

const (
	// DefaultMaxVoters tolerates the loss of four voters at once.
	DefaultMaxVoters = 9
	// DefaultRemoveAfter outlasts the restart of a process.
	DefaultRemoveAfter = 1500 * time.Millisecond
)

// Config is what a member of a group is started with.
type Config struct {
	// Self is the member that runs this state machine.
	Self member.ID
	// Incarnation names the durable state that Self is started with. It is
	// FoundingIncarnation on the disks that the group is founded with. A disk that
	// replaces a lost one has an incarnation that differs from all before it, and
	// that must be durable before New is called.
	Incarnation uint64
	// Founders are the founding voters in the agreed order, the same on every
	// founder. Earlier members are preferred as leaders. It is empty on a member
	// that joins a group, and may be empty on any member whose log or snapshot is
	// not: the present voters are those that the log tells of, and its first entry
	// names the founders. A member that knows of no group is a learner.
	Founders []member.ID
	// MaxVoters bounds how far the leader lets the group grow by itself; zero
	// stands for DefaultMaxVoters.
	MaxVoters int
	// RemoveAfter is how long a voter is not heard before the leader removes it from
	// a group with an even number of voters; zero stands for DefaultRemoveAfter.
	RemoveAfter time.Duration
	// HeartbeatEvery is the time between two heartbeats of a leader.
	HeartbeatEvery time.Duration
	// ElectionTimeout is how long a voter waits for a leader before the first
	// live voter campaigns, and how long a leader stays without a majority.
	ElectionTimeout time.Duration
	// LeaseDuration is the length of the command lease; zero disables it.
	LeaseDuration time.Duration
	// LeaseMargin covers differing rates of clocks, see package lease.
	LeaseMargin time.Duration
	// MaxLogEntries is how many of the entries that the snapshot covers are kept,
	// for followers that are a little behind.
	MaxLogEntries int
	// MaxLogBytes bounds the commands of these entries together, in bytes; zero is no
	// bound.
	MaxLogBytes int
	// Learner starts a member that never votes, and that is given no vote. A member
	// whose durable state was lost needs only another Incarnation: the leader gives
	// it the vote back when that is safe.
	Learner bool
}

func (c Config) leaseTiming() lease.Timing {
	return lease.Timing{Duration: c.LeaseDuration, Margin: c.LeaseMargin}
}

// withDefaults returns the settings with the defaults of those that are zero.
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
		return &ConfigError{Field: "Self", Message: "is empty: name the member"}
	}
	if c.Incarnation == 0 {
		return &ConfigError{Field: "Incarnation", Message: "is zero: name the durable state, FoundingIncarnation on a founder"}
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
		return &ConfigError{Field: "Founders", Message: "lists an empty ID: name every member"}
	}
	return nil
}
