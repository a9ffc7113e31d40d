package control

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// shardState is the replicated state machine of a shard.
type shardState interface {
	// Apply carries out a committed command; every copy gives the same answer.
	Apply(command *controlpb.Command) *controlpb.Answer
	// Revision numbers the states that are relayed to all nodes.
	Revision() uint64
	// Nodes are the nodes that serve under this shard's state.
	Nodes() []*controlpb.RegisterNode
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Sections encodes what is relayed to all nodes.
	Sections() ([]relaytree.Section, error)
	// equals tells whether a relayed state is that of this one.
	equals(relayed proto.Message) bool
}

// shard is this node's copy of one shard.
type shard struct {
	id        uint32
	group     *replication.Group
	state     shardState
	learner   bool
	applied   uint64
	compacted uint64
	// maxLogEntries is how long the applied log may become.
	maxLogEntries uint64
	// writing tells that a write is outstanding: a checkpoint if checkpointing,
	// else what outstanding holds.
	writing       bool
	checkpointing bool
	checkpointDue bool
	outstanding   replication.Ready
	// badEntries counts entries that could not be decoded or encoded.
	badEntries uint64
	// proposals are this node's commands that wait to be applied.
	proposals map[uint64]proposal
	// reads are those that wait for a quorum, by their numbers in the group.
	reads   map[uint64]pendingRead
	rollout rolloutState
	// recovery is set while this node is to form the group anew.
	recovery *witnessSearch
	// awaitedRevision is what this node, as leader, waits for the nodes to confirm.
	awaited awaitedRevision
	// dissemination follows the newest state of a shard that this node leads.
	dissemination dissemination
	// restoredPublished tells that publishRestored has been done.
	restoredPublished bool
}

// newShard starts a copy from what the disk kept.
func newShard(id uint32, group []member.ID, config Config, restored replication.Restored, now timeStamp) (*shard, error) {
	core, err := replication.New(replication.Config{
		Self:            config.Self.ID,
		Founders:        group,
		MaxVoters:       config.maxVoters(),
		HeartbeatEvery:  config.Times.HeartbeatEvery,
		ElectionTimeout: config.Times.ElectionTimeout,
		LeaseDuration:   config.Times.LeaseDuration,
		LeaseMargin:     config.Times.LeaseMargin,
		MaxLogEntries:   config.logEntries(),
		Learner:         config.Learner,
		Incarnation:     config.diskIncarnation(),
	}, restored, now)
	if err != nil {
		return nil, err
	}
	hosted := &shard{
		id:            id,
		group:         core,
		state:         emptyState(id),
		learner:       config.Learner,
		maxLogEntries: uint64(config.logEntries()),
		proposals:     map[uint64]proposal{},
		reads:         map[uint64]pendingRead{},
		rollout:       newRolloutState(0, now),
	}
	if restored.Snapshot != nil {
		if err := hosted.restore(restored.Snapshot); err != nil {
			return nil, err
		}
	}
	return hosted, nil
}

// emptyState returns the state of a shard before its first command.
func emptyState(id uint32) shardState {
	if id == ConfigurationShard {
		return newConfigurationShard(&controlpb.ConfigurationState{})
	}
	return newServiceShard(&controlpb.ServiceState{})
}

// restore replaces the state by a snapshot.
func (s *shard) restore(snapshot *replication.Snapshot) error {
	state, err := restoreState(s.id, snapshot.Data)
	if err != nil {
		return errors.Wrapf(err, "restore shard %d from its snapshot at %d", s.id, snapshot.Index)
	}
	s.state = state
	s.applied = snapshot.Index
	s.compacted = snapshot.Index
	return nil
}

func restoreState(id uint32, data []byte) (shardState, error) {
	if len(data) == 0 {
		return emptyState(id), nil
	}
	if id == ConfigurationShard {
		machine, err := dynamic.RestoreMachine(data)
		if err != nil {
			return nil, err
		}
		return &configurationShard{Machine: machine}, nil
	}
	state := &controlpb.ServiceState{}
	if err := proto.Unmarshal(data, state); err != nil {
		return nil, errors.Wrap(err, "decode the state of a service shard")
	}
	return newServiceShard(state), nil
}

// isLeader tells whether this node leads the shard.
func (s *shard) isLeader() bool {
	return s.group.Status().Role == replication.RoleLeader
}

// allApplied tells whether everything in the log has been applied. For a leader
// that includes the barrier of its own term, and so all that earlier leaders
// committed.
func (s *shard) allApplied() bool {
	status := s.group.Status()
	return status.Applied == status.LastIndex
}

// compactWhenLong replaces the applied log by a snapshot once it is long.
func (s *shard) compactWhenLong() {
	if s.applied-s.compacted < s.maxLogEntries {
		return
	}
	data, err := s.state.Snapshot()
	if err != nil {
		s.badEntries++
		return
	}
	if err := s.group.Compact(s.applied, data); err != nil {
		s.badEntries++
		return
	}
	s.compacted = s.applied
	s.checkpointDue = true
}

// configurationShard adapts the configuration's state machine.
type configurationShard struct {
	*dynamic.Machine
}

func newConfigurationShard(state *controlpb.ConfigurationState) *configurationShard {
	return &configurationShard{Machine: dynamic.NewMachine(state)}
}

// Revision is the revision of the configuration.
func (c *configurationShard) Revision() uint64 {
	return c.Configuration().GetRevision()
}

// Sections encodes the configuration and the answers to the newest orders.
func (c *configurationShard) Sections() ([]relaytree.Section, error) {
	sections, err := encodeSections(c.Configuration(), configurationFields)
	if err != nil {
		return nil, err
	}
	answers, err := encodeAnswers(c.Revision(), c.AcceptedAnswers())
	return append(sections, answers...), err
}

func (c *configurationShard) equals(relayed proto.Message) bool {
	return proto.Equal(c.Configuration(), relayed)
}
