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

// Write is data that a shard requires to be durable. Shard.Written must be called when it
// is.
type Write struct {
	Shard uint32
	Ready replication.Ready
	// Checkpoint, if set, replaces everything that was written before; Ready is empty then.
	Checkpoint *replication.DurableState
}

// Host is implemented by the user of this package. A Shard calls its Host to send replication
// messages and write data durably, and to pass on applied commands, finished reads and its
// new state.
type Host interface {
	// SendReplication sends a message to another member of a shard's group.
	SendReplication(to member.ID, shardID uint32, message replication.Message)
	// Write requests that data be made durable.
	Write(write Write)
	// Applied is called after each command that was applied. The proposal is the one with
	// which this node appended the command, or nil if there is none or the term has changed
	// since.
	Applied(shard *Shard, command *controlpb.Command, answer *controlpb.Answer, proposed *Proposal)
	// ReadsFinished is called with each Ready after its commands were applied. It contains
	// the reads that a quorum has confirmed and those that have failed, if any.
	ReadsFinished(shard *Shard, ready replication.Ready)
	// Committed is called last for each Ready. The state may have changed.
	Committed(shard *Shard)
}

// Shard is this node's copy of one shard.
type Shard struct {
	id    uint32
	host  Host
	group *replication.Group
	state shardstate.State
	// applied is the index of the last applied entry.
	applied uint64
	// compacted is the index of the last snapshot or restored state; the length of the
	// applied log is counted from it.
	compacted uint64
	// appliedBytes is the size of the commands that were applied after compacted.
	appliedBytes int
	// maxLogEntries and maxLogBytes bound the applied log; if maxLogBytes is 0, its size
	// in bytes is not bounded.
	maxLogEntries uint64
	maxLogBytes   int
	// writing means that a write is outstanding: a checkpoint if checkpointing is set,
	// otherwise the Ready in outstanding. checkpointDue means that a checkpoint is to be
	// written next.
	writing       bool
	checkpointing bool
	checkpointDue bool
	outstanding   replication.Ready
	// badEntries counts the failures to decode or encode data of the shard, to compact its
	// log and to recover its group.
	badEntries uint64
	// proposals are this node's commands that wait to be applied, by their log index.
	proposals map[uint64]Proposal
}

// New returns a copy of a shard that begins with the restored durable state.
func New(id uint32, host Host, config replication.Config, restored replication.DurableState, now time.Duration) (*Shard, error) {
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
	// The snapshot includes these entries, so that Applied will not be called for them.
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

// State returns the state after the last applied entry; read only.
func (s *Shard) State() shardstate.State { return s.state }

// Revision returns the revision of State.
func (s *Shard) Revision() uint64 { return s.state.Revision() }

// Nodes returns the registered nodes; read only.
func (s *Shard) Nodes() []*controlpb.RegisterNode { return s.state.Nodes() }

// Applied returns the index of the last applied entry.
func (s *Shard) Applied() uint64 { return s.applied }

// AllApplied reports whether every entry of the log has been applied. For a leader that
// includes the barrier entry of its own term, and therefore all entries that earlier
// leaders committed.
func (s *Shard) AllApplied() bool {
	status := s.group.Status()
	return status.Applied == status.LastIndex
}

// BadEntries returns the number of failures to decode or encode data of the shard, to
// compact its log and to recover its group.
func (s *Shard) BadEntries() uint64 { return s.badEntries }

// CountBadEntry counts a failure that BadEntries reports.
func (s *Shard) CountBadEntry() { s.badEntries++ }
