package wire

import (
	"github.com/ridgeswitch/ridgeswitch/internal/wire/fb"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

func packReplication(message *replication.Message) *fb.ReplicationT {
	if message == nil {
		return nil
	}
	return &fb.ReplicationT{
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
		Entries:     packEntries(message.Entries),
		Snapshot:    packSnapshot(message.Snapshot),
	}
}

func packEntries(entries []replication.Entry) []*fb.EntryT {
	if len(entries) == 0 {
		return nil
	}
	packed := make([]*fb.EntryT, len(entries))
	for i, entry := range entries {
		packed[i] = &fb.EntryT{
			Index:   entry.Index,
			Term:    entry.Term,
			Kind:    byte(entry.Kind),
			Command: entry.Command,
		}
	}
	return packed
}

func packSnapshot(snapshot *replication.Snapshot) *fb.SnapshotT {
	if snapshot == nil {
		return nil
	}
	return &fb.SnapshotT{
		Index:  snapshot.Index,
		Term:   snapshot.Term,
		Places: packSlots(snapshot.Slots),
		Data:   snapshot.Data,
	}
}

func packSlots(group []replication.Slot) []*fb.PlaceT {
	if len(group) == 0 {
		return nil
	}
	packed := make([]*fb.PlaceT, len(group))
	for i, place := range group {
		packed[i] = &fb.PlaceT{Id: string(place.ID), Incarnation: place.Incarnation, Learner: place.Learner}
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
	length := r.vectorLength(table.EntriesLength(), minTableBytes)
	if length == 0 {
		return nil
	}
	entries := make([]replication.Entry, length)
	var stored fb.Entry
	for i := range entries {
		table.Entries(&stored, i)
		entries[i] = replication.Entry{
			Index:   stored.Index(),
			Term:    stored.Term(),
			Kind:    replication.EntryKind(stored.Kind()),
			Command: r.bytes(stored.CommandBytes()),
		}
	}
	return entries
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
	length := r.vectorLength(table.PlacesLength(), minTableBytes)
	if length == 0 {
		return nil
	}
	group := make([]replication.Slot, length)
	var stored fb.Place
	for i := range group {
		table.Places(&stored, i)
		group[i] = replication.Slot{
			Voter:   replication.Voter{ID: member.ID(r.text(stored.Id())), Incarnation: stored.Incarnation()},
			Learner: stored.Learner(),
		}
	}
	return group
}
