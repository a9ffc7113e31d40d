package control

import (
	"iter"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/control/confirmation"
	"github.com/ridgeswitch/ridgeswitch/internal/control/registration"
	"github.com/ridgeswitch/ridgeswitch/internal/control/requests"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shards"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// hostedShards owns this node's copies of shards, and returns the groups of all shards. It
// implements leaders.Shards.
type hostedShards struct {
	config        Config
	clock         *clock
	members       *memberTable
	confirmations *confirmation.Table
	// ids are the IDs of all shards; byID contains only the shards that this node hosts.
	ids  []uint32
	byID map[uint32]*shards.Shard
}

// start starts this node's copies of the shards that it hosts.
func (s *hostedShards) start(host shards.Host, restored map[uint32]replication.Restored) error {
	config := s.config
	for _, id := range config.hostedIDs() {
		shard, err := shards.New(id, host, replication.Config{
			Self:            config.Self.ID,
			Founders:        config.foundersOf(id),
			MaxVoters:       config.maxVoters(),
			HeartbeatEvery:  config.Times.HeartbeatEvery,
			ElectionTimeout: config.Times.ElectionTimeout,
			LeaseDuration:   config.Times.LeaseDuration,
			LeaseMargin:     config.Times.LeaseMargin,
			MaxLogEntries:   config.logEntries(),
			MaxLogBytes:     config.limits().Log,
			Learner:         config.Learner,
			Incarnation:     config.diskIncarnation(),
		}, restored[id], s.clock.now)
		if err != nil {
			return errors.Wrapf(err, "start shard %d", id)
		}
		s.byID[id] = shard
	}
	return nil
}

// all iterates over the shards that this node hosts, in ascending order of their IDs.
func (s *hostedShards) all() iter.Seq[hostedShard] {
	return func(yield func(hostedShard) bool) {
		for _, id := range s.ids {
			if shard, hosted := s.find(id); hosted && !yield(shard) {
				return
			}
		}
	}
}

// find returns a shard, and whether this node hosts it.
func (s *hostedShards) find(shardID uint32) (hostedShard, bool) {
	shard := s.byID[shardID]
	if shard == nil {
		return hostedShard{}, false
	}
	return s.bind(shard), true
}

// bind binds a shard to the time of this input and to the table of confirmations.
func (s *hostedShards) bind(shard *shards.Shard) hostedShard {
	return hostedShard{Shard: shard, confirmations: s.confirmations, now: s.clock.now}
}

// forRequests returns a shard for operators' requests, or nil if this node does not host
// it.
func (s *hostedShards) forRequests(shardID uint32) requests.Shard {
	if shard, hosted := s.find(shardID); hosted {
		return shard
	}
	return nil
}

// forRegistration returns a shard for registrations, or nil if this node does not host it.
func (s *hostedShards) forRegistration(shardID uint32) registration.Shard {
	if shard, hosted := s.find(shardID); hosted {
		return shard
	}
	return nil
}

// receive passes a replication message to this node's member of the shard's group. A message
// that the group rejects is dropped, because its sender repeats what is still needed.
func (s *hostedShards) receive(envelope wire.Envelope) {
	shard, hosted := s.find(envelope.Shard)
	if !hosted {
		return
	}
	if err := shard.Group().Step(s.clock.now, envelope.From, *envelope.Replication); err != nil {
		return
	}
	shard.Process()
}

// transferLeadership transfers the leadership of all shards that this node leads to other
// members.
func (s *hostedShards) transferLeadership(now time.Duration) {
	for shard := range s.all() {
		// An error means that this node does not lead the shard, so that there is nothing
		// to transfer, or that no member can succeed it. In that case the group elects a
		// leader after the election time-out.
		_ = shard.Group().TransferLeadership(now)
		shard.Process()
	}
}

// HostedLeader implements leaders.Shards.
func (s *hostedShards) HostedLeader(shardID uint32) (member.ID, bool) {
	shard, hosted := s.find(shardID)
	if !hosted {
		return "", false
	}
	return shard.Group().Status().Leader, true
}

// Group implements leaders.Shards. It returns the members of a shard's group, as far as
// known to this node, in the order in which they become its leader.
func (s *hostedShards) Group(shardID uint32) []member.ID {
	if !s.config.Seeded {
		return s.config.GroupOfShard(shardID)
	}
	var group []member.ID
	if shard, hosted := s.find(shardID); hosted {
		for _, slot := range shard.Group().Status().Slots {
			group = append(group, slot.ID)
		}
	}
	for _, id := range s.members.coreNodes {
		if !slices.Contains(group, id) {
			group = append(group, id)
		}
	}
	return group
}

// Reachable implements leaders.Shards.
func (s *hostedShards) Reachable(id member.ID) bool { return s.members.reachable(id) }

// slots returns the slots of a shard's group. It returns false unless this node leads the
// shard and the last change of the group is committed, because otherwise the slots are not
// known for certain.
func (s *hostedShards) slots(shardID uint32) ([]replication.Slot, bool) {
	shard, hosted := s.find(shardID)
	if !hosted {
		return nil, false
	}
	status := shard.Group().Status()
	if status.Role != replication.RoleLeader || status.ChangeIndex > status.Commit {
		return nil, false
	}
	return status.Slots, true
}

// badEntries returns the number of log entries, of all hosted shards, that could not be
// decoded or encoded.
func (s *hostedShards) badEntries() uint64 {
	var count uint64
	for _, shard := range s.byID {
		count += shard.BadEntries()
	}
	return count
}
