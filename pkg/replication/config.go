package replication

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/lease"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// minHeartbeatsPerElection is how many heartbeats an owner must be able to
// send within one ElectionTimeout, so that one lost heartbeat costs nothing.
const minHeartbeatsPerElection = 2

// Config is what a member of a group is started with.
type Config struct {
	// Self is the member that runs this state machine.
	Self member.ID
	// Group holds the voters in the agreed order, the same on every member.
	// Earlier members are preferred as owners.
	Group []member.ID
	// HeartbeatEvery is the time between two heartbeats of an owner.
	HeartbeatEvery time.Duration
	// ElectionTimeout is how long a voter waits for an owner before the first
	// live voter campaigns, and how long an owner stays without a majority.
	ElectionTimeout time.Duration
	// LeaseDuration is the length of the command lease; zero turns it off.
	LeaseDuration time.Duration
	// LeaseMargin covers differing rates of clocks, see package lease.
	LeaseMargin time.Duration
	// MaxLogEntries is how many entries are kept behind the snapshot for
	// followers that are a little late.
	MaxLogEntries int
	// Learner starts the member without a vote. A member whose durable state
	// was lost must be started so, as it may have promised and acknowledged
	// what it no longer knows of.
	Learner bool
}

func (c Config) leaseTiming() lease.Timing {
	return lease.Timing{Duration: c.LeaseDuration, Margin: c.LeaseMargin}
}

func (c Config) check() error {
	if c.Self == "" {
		return &ConfigError{Field: "Self", Message: "is empty: name the member"}
	}
	if !slices.Contains(c.Group, c.Self) {
		return &ConfigError{Field: "Group", Message: "does not hold Self: list every member in the agreed order"}
	}
	if err := checkDistinct(c.Group); err != nil {
		return err
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
	if err := c.leaseTiming().Check(); err != nil {
		return &ConfigError{Field: "LeaseDuration", Message: err.Error()}
	}
	return nil
}

func checkDistinct(group []member.ID) error {
	sorted := slices.Sorted(slices.Values(group))
	if len(slices.Compact(sorted)) != len(group) {
		return &ConfigError{Field: "Group", Message: "lists a member twice: list each once"}
	}
	if slices.Contains(group, "") {
		return &ConfigError{Field: "Group", Message: "lists an empty ID: name every member"}
	}
	return nil
}

// HardState is what a member must never forget.
type HardState struct {
	// Epoch is the highest epoch that the member has seen.
	Epoch uint64
	// PromisedTo is the member that Epoch is promised to, or empty.
	PromisedTo member.ID
	// Commit is the highest index known to be committed when the state was
	// written. It may lag behind without harm, as the owner tells it again.
	Commit uint64
}

// Restored is the durable state that a member is started with.
type Restored struct {
	HardState
	// Snapshot is the newest durable snapshot, or nil.
	Snapshot *Snapshot
	// Entries are the durable entries without gaps. Those that the snapshot
	// covers are passed over.
	Entries []Entry
}

// check finds what durable state can never be if it was kept whole.
func (r Restored) check(group []member.ID) error {
	if r.Snapshot != nil && !slices.Equal(r.Snapshot.Group, group) {
		return &RestoredError{Message: "the snapshot is of a group with other voters: start the member with the group that it had"}
	}
	previous := Entry{}
	if r.Snapshot != nil {
		previous = Entry{Index: r.Snapshot.Index, Epoch: r.Snapshot.Epoch}
	}
	for _, entry := range r.Entries {
		if entry.Index <= previous.Index {
			continue
		}
		if entry.Index != previous.Index+1 {
			return &RestoredError{Message: "the log has a gap: restore the member as a learner with an empty disk"}
		}
		if entry.Epoch < previous.Epoch || entry.Epoch > r.Epoch {
			return &RestoredError{Message: "the log's epochs are out of order: restore the member as a learner with an empty disk"}
		}
		previous = entry
	}
	if r.Commit > previous.Index {
		return &RestoredError{Message: "committed entries are missing: restore the member as a learner with an empty disk"}
	}
	return nil
}
