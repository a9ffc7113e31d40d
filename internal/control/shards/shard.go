package shards

import (
	"maps"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// Write is what a shard has to write. Shard.Written is to be called when it is durable.
type Write struct {
	Shard uint32
	Ready replication.Ready
	// Checkpoint, if set, replaces everything written before; Ready is empty.
	Checkpoint *replication.Restored
}

// Host carries out what a shard is ready to do.
type Host interface {
	// SendReplication sends a message to another member of a shard's group.
	SendReplication(to member.ID, shardID uint32, message replication.Message)
	// Write has something made durable.
	Write(write Write)
	// Applied is called after each committed command. The proposal is that of this
	// node which the command comes from, if it still leads in the same term; else nil.
	Applied(shard *Shard, command *controlpb.Command, answer *controlpb.Answer, proposed *Proposal)
	// ReadsFinished is called with the reads that a quorum has confirmed, or that have
	// failed.
	ReadsFinished(shard *Shard, ready replication.Ready)
	// Committed is called after the state may have changed.
	Committed(shard *Shard)
}

// Shard is this node's copy of one shard.
type Shard struct {
	id      uint32
	host    Host
	group   *replication.Group
	state   shardstate.State
	applied uint64
	// compacted is the index of the last snapshot or restored state; the length of the
	// applied log is counted from it.
	compacted uint64
	// appliedBytes is the size of the commands applied since then.
	appliedBytes int
	// maxLogEntries and maxLogBytes are how long the applied log may become; zero bytes
	// are no bound.
	maxLogEntries uint64
	maxLogBytes   int
	// writing means that a write is outstanding: a checkpoint if checkpointing,
	// else what outstanding holds.
	writing       bool
	checkpointing bool
	checkpointDue bool
	outstanding   replication.Ready
	// badEntries counts entries that could not be decoded or encoded.
	badEntries uint64
	// proposals are this node's commands that wait to be applied, by their index.
	proposals map[uint64]Proposal
}

// New starts a copy from what the disk kept.
func New(id uint32, host Host, config replication.Config, restored replication.Restored, now time.Duration) (*Shard, error) {
	group, err := replication.New(config, restored, now)
	if err != nil {
		return nil, err
	}
	shard := &Shard{
		id:            id,
		host:          host,
		group:         group,
		state:         shardstate.New(id),
		maxLogEntries: uint64(config.MaxLogEntries),
		maxLogBytes:   config.MaxLogBytes,
		proposals:     map[uint64]Proposal{},
	}
	if restored.Snapshot != nil {
		if err := shard.restore(restored.Snapshot); err != nil {
			return nil, err
		}
	}
	return shard, nil
}

// restore replaces the state by a snapshot.
func (s *Shard) restore(snapshot *replication.Snapshot) error {
	state, err := shardstate.Restore(s.id, snapshot.Data)
	if err != nil {
		return errors.Wrapf(err, "restore shard %d from its snapshot at %d", s.id, snapshot.Index)
	}
	s.state = state
	s.applied = snapshot.Index
	s.compacted = snapshot.Index
	s.appliedBytes = 0
	// The entries up to there are not applied one by one any more.
	maps.DeleteFunc(s.proposals, func(index uint64, _ Proposal) bool { return index <= snapshot.Index })
	return nil
}

// ID returns the number of the shard.
func (s *Shard) ID() uint32 { return s.id }

// Group returns this node's member of the shard's replica group.
func (s *Shard) Group() *replication.Group { return s.group }

// IsLeader reports whether this node leads the shard.
func (s *Shard) IsLeader() bool { return s.group.Status().Role == replication.RoleLeader }

// Term returns the newest term of the shard's group.
func (s *Shard) Term() uint64 { return s.group.Status().Term }

// State returns the state after all entries that have been applied; read only.
func (s *Shard) State() shardstate.State { return s.state }

// Revision returns the revision of State.
func (s *Shard) Revision() uint64 { return s.state.Revision() }

// Nodes returns the registered nodes; read only.
func (s *Shard) Nodes() []*controlpb.RegisterNode { return s.state.Nodes() }

// Applied returns the index of the last entry that has been applied.
func (s *Shard) Applied() uint64 { return s.applied }

// AllApplied reports whether everything in the log has been applied. For a leader
// that includes the barrier of its own term, and so all that earlier leaders
// committed.
func (s *Shard) AllApplied() bool {
	status := s.group.Status()
	return status.Applied == status.LastIndex
}

// BadEntries returns how many entries could not be decoded or encoded.
func (s *Shard) BadEntries() uint64 { return s.badEntries }

// CountBadEntry counts what could not be decoded or encoded.
func (s *Shard) CountBadEntry() { s.badEntries++ }
