package wire

import (
	"github.com/ridgeswitch/ridgeswitch/internal/wire/fb"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication/fbtable"
)

func packReplication(message *replication.Message) *fb.ReplicationT {
	if message == nil {
		return nil
	}
	packed := &fb.ReplicationT{
		Type:        byte(message.Type),
		Term:        message.Term,
		Incarnation: message.Incarnation,
		Index:       message.Index,
		IndexTerm:   message.IndexTerm,
		Commit:      message.Commit,
		Round:       message.HeartbeatNumber,
		Trial:       message.PreVote,
		Handover:    message.Transfer,
		Learner:     message.Learner,
		Reject:      message.Reject,
		RejectHint:  message.RejectHint,
		Snapshot:    packSnapshot(message.Snapshot),
	}
	// Without entries, Entries stays nil, so that the frame omits the vector.
	if len(message.Entries) > 0 {
		packed.Entries = fbtable.PackEntries[fb.EntryT](message.Entries)
	}
	return packed
}

func packSnapshot(snapshot *replication.Snapshot) *fb.SnapshotT {
	if snapshot == nil {
		return nil
	}
	packed := &fb.SnapshotT{Index: snapshot.Index, Term: snapshot.Term, Data: snapshot.Data}
	if len(snapshot.Slots) > 0 {
		packed.Places = fbtable.PackSlots[fb.PlaceT](snapshot.Slots)
	}
	return packed
}

func (r *reader) replication(table *fb.Replication) *replication.Message {
	if table == nil {
		return nil
	}
	return &replication.Message{
		Type:            replication.MessageType(table.Type()),
		Term:            table.Term(),
		Incarnation:     table.Incarnation(),
		Index:           table.Index(),
		IndexTerm:       table.IndexTerm(),
		Commit:          table.Commit(),
		HeartbeatNumber: table.Round(),
		PreVote:         table.Trial(),
		Transfer:        table.Handover(),
		Learner:         table.Learner(),
		Reject:          table.Reject(),
		RejectHint:      table.RejectHint(),
		Entries:         r.entries(table),
		Snapshot:        r.snapshot(table.Snapshot(nil)),
	}
}

func (r *reader) entries(table *fb.Replication) []replication.Entry {
	var stored fb.Entry
	return readVectorOrNil(r, table.EntriesLength(), minTableBytes, func(i int) replication.Entry {
		table.Entries(&stored, i)
		return replication.Entry{
			Index:   stored.Index(),
			Term:    stored.Term(),
			Kind:    replication.EntryKind(stored.Kind()),
			Command: r.bytes(stored.CommandBytes()),
		}
	})
}

func (r *reader) snapshot(table *fb.Snapshot) *replication.Snapshot {
	if table == nil {
		return nil
	}
	return &replication.Snapshot{
		Index: table.Index(),
		Term:  table.Term(),
		Slots: r.slots(table),
		Data:  r.bytes(table.DataBytes()),
	}
}

func (r *reader) slots(table *fb.Snapshot) []replication.Slot {
	var stored fb.Place
	return readVectorOrNil(r, table.PlacesLength(), minTableBytes, func(i int) replication.Slot {
		table.Places(&stored, i)
		return replication.Slot{
			Voter:   replication.Voter{ID: member.ID(r.text(stored.Id())), Incarnation: stored.Incarnation()},
			Learner: stored.Learner(),
		}
	})
}
