package control

import (
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// shard is this node's copy of one shard.
type shard struct {
	id        uint32
	group     *replication.Group
	state     shardstate.State
	applied   uint64
	compacted uint64
	// maxLogEntries is how long the applied log may become.
	maxLogEntries uint64
	// writing means that a write is outstanding: a checkpoint if checkpointing,
	// else what outstanding holds.
	writing       bool
	checkpointing bool
	checkpointDue bool
	outstanding   replication.Ready
	// badEntries counts entries that could not be decoded or encoded.
	badEntries uint64
	// proposals are this node's commands that wait to be applied.
	proposals map[uint64]proposal
	// restoredPublished means that publishRestored has been done.
	restoredPublished bool
}

// newShard starts a copy from what the disk kept.
func newShard(id uint32, group []member.ID, config Config, restored replication.Restored, now time.Duration) (*shard, error) {
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
		state:         shardstate.New(id),
		maxLogEntries: uint64(config.logEntries()),
		proposals:     map[uint64]proposal{},
	}
	if restored.Snapshot != nil {
		if err := hosted.restore(restored.Snapshot); err != nil {
			return nil, err
		}
	}
	return hosted, nil
}

// restore replaces the state by a snapshot.
func (s *shard) restore(snapshot *replication.Snapshot) error {
	state, err := shardstate.Restore(s.id, snapshot.Data)
	if err != nil {
		return errors.Wrapf(err, "restore shard %d from its snapshot at %d", s.id, snapshot.Index)
	}
	s.state = state
	s.applied = snapshot.Index
	s.compacted = snapshot.Index
	return nil
}

// isLeader reports whether this node leads the shard.
func (s *shard) isLeader() bool {
	return s.group.Status().Role == replication.RoleLeader
}

// allApplied reports whether everything in the log has been applied. For a leader
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
