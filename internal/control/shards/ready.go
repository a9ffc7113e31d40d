package shards

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// Tick advances the time of the group.
func (s *Shard) Tick(now time.Duration) {
	s.group.Tick(now)
	s.Process()
}

// Process handles everything that the group has ready, up to the next write that has to
// become durable. It does nothing while a write is outstanding.
func (s *Shard) Process() {
	if s.checkpointDue && !s.writing {
		s.startCheckpoint()
	}
	for !s.writing && s.group.HasReady() {
		ready := s.group.Ready()
		if ready.MustSync() {
			s.writing = true
			s.outstanding = ready
			s.host.Write(Write{Shard: s.id, Ready: ready})
			return
		}
		s.finish(ready)
	}
}

// startCheckpoint writes a checkpoint, which replaces the whole durable log.
func (s *Shard) startCheckpoint() {
	state := s.group.Checkpoint()
	s.checkpointDue = false
	s.checkpointing = true
	s.writing = true
	s.host.Write(Write{Shard: s.id, Checkpoint: &state})
}

// Written must be called when the outstanding write is durable.
func (s *Shard) Written() {
	if !s.writing {
		return
	}
	s.writing = false
	if s.checkpointing {
		s.checkpointing = false
	} else {
		s.finish(s.outstanding)
	}
	s.Process()
}

// finish sends the messages and applies the entries of a Ready. Whatever the Ready
// requires to be durable is durable.
func (s *Shard) finish(ready replication.Ready) {
	for _, outbound := range ready.Messages {
		s.host.SendReplication(outbound.To, s.id, outbound.Message)
	}
	if ready.Snapshot != nil {
		s.replaceState(ready.Snapshot)
	}
	for _, entry := range ready.Committed {
		s.apply(entry)
	}
	s.host.ReadsFinished(s, ready)
	s.group.Advance()
	s.compactIfDue()
	s.host.Committed(s)
}

// apply applies one committed entry.
func (s *Shard) apply(entry replication.Entry) {
	s.applied = entry.Index
	s.appliedBytes += len(entry.Command)
	switch entry.Kind {
	case replication.EntryRestore:
		s.replaceState(&replication.Snapshot{Index: entry.Index, Data: entry.Command})
	case replication.EntryCommand:
		s.applyCommand(entry)
	}
}

func (s *Shard) applyCommand(entry replication.Entry) {
	command := &controlpb.Command{}
	if err := proto.Unmarshal(entry.Command, command); err != nil {
		// Every member fails to decode the same bytes, so that skipping the entry
		// keeps the copies equal.
		s.badEntries++
		return
	}
	answer := s.state.Apply(command)
	s.host.Applied(s, command, answer, s.takeProposal(entry.Index))
}

// replaceState replaces the state by a snapshot. It counts a snapshot that can't be
// decoded, and keeps the present state.
func (s *Shard) replaceState(snapshot *replication.Snapshot) {
	if err := s.restore(snapshot); err != nil {
		s.badEntries++
	}
}

// compactionDue reports whether the log that was applied since the last compaction has
// reached the bound on its entries or on their bytes.
func (s *Shard) compactionDue() bool {
	if s.applied == s.compacted {
		return false
	}
	return s.applied-s.compacted >= s.maxLogEntries || (s.maxLogBytes > 0 && s.appliedBytes >= s.maxLogBytes)
}

// compactIfDue replaces the applied log by a snapshot if a compaction is due. The next
// Process writes the checkpoint.
func (s *Shard) compactIfDue() {
	if !s.compactionDue() {
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
	s.appliedBytes = 0
	s.checkpointDue = true
}
