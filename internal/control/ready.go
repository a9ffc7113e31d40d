package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// processReady carries out what a group is ready to do. A group has one write
// outstanding at most; messages and committed entries of that write wait for it.
func (m *Machine) processReady(hosted *shard) {
	if hosted.checkpointDue && !hosted.writing {
		m.startCheckpoint(hosted)
	}
	for !hosted.writing && hosted.group.HasReady() {
		ready := hosted.group.Ready()
		if ready.MustSync() {
			hosted.writing = true
			hosted.outstanding = ready
			m.output.Writes = append(m.output.Writes, StorageWrite{Shard: hosted.id, Ready: ready})
			return
		}
		m.finishReady(hosted, ready)
	}
}

// startCheckpoint writes the compacted state in place of the whole log.
func (m *Machine) startCheckpoint(hosted *shard) {
	state := hosted.group.Checkpoint()
	hosted.checkpointDue = false
	hosted.checkpointing = true
	hosted.writing = true
	m.output.Writes = append(m.output.Writes, StorageWrite{Shard: hosted.id, Checkpoint: &state})
}

// finishReady sends and applies what a durable Ready allows.
func (m *Machine) finishReady(hosted *shard, ready replication.Ready) {
	for _, outbound := range ready.Messages {
		message := outbound.Message
		m.send(outbound.To, wire.Envelope{Shard: hosted.id, Replication: &message})
	}
	if ready.Snapshot != nil {
		m.restoreShard(hosted, ready.Snapshot)
	}
	for _, entry := range ready.Committed {
		m.applyEntry(hosted, entry)
	}
	m.finishReads(hosted, ready)
	hosted.group.Advance()
	hosted.compactWhenLong()
	m.publishCommitted(hosted)
}

// applyEntry applies one committed entry and answers whoever waits for it.
func (m *Machine) applyEntry(hosted *shard, entry replication.Entry) {
	hosted.applied = entry.Index
	if entry.Kind == replication.EntryRestore {
		m.restoreShard(hosted, &replication.Snapshot{Index: entry.Index, Data: entry.Command})
		return
	}
	if entry.Kind != replication.EntryCommand {
		return
	}
	command := &controlpb.Command{}
	if err := proto.Unmarshal(entry.Command, command); err != nil {
		// Every member fails alike on the same bytes, so that skipping keeps
		// the copies equal.
		hosted.badEntries++
		return
	}
	answer := hosted.state.Apply(command)
	m.afterApply(hosted, entry.Index, command, answer)
}

// restoreShard replaces a shard's state by a snapshot.
func (m *Machine) restoreShard(hosted *shard, snapshot *replication.Snapshot) {
	if err := hosted.restore(snapshot); err != nil {
		hosted.badEntries++
	}
}
