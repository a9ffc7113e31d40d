package durable

import (
	"bytes"

	flatbuffers "github.com/google/flatbuffers/go"
	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication/durable/fb"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication/fbtable"
)

//go:generate flatc --go --gen-object-api -o . durable.fbs
//go:generate gofmt -w fb

// identifier is the file identifier of this schema, which follows the root offset.
const identifier = "RSD1"

const initialBuilderBytes = 512

var errEncoding = errors.New("durable: data is not a record that this release can decode")

// encode encodes the whole state as one record.
func encode(state replication.DurableState) []byte {
	return record{hardState: &state.HardState, snapshot: state.Snapshot, entries: state.Entries}.encode()
}

func (r record) encode() []byte {
	table := &fb.StateT{
		HardState: packHardState(r.hardState),
		Snapshot:  packSnapshot(r.snapshot),
		Entries:   fbtable.PackEntries[fb.EntryT](r.entries),
	}
	builder := flatbuffers.NewBuilder(initialBuilderBytes)
	builder.FinishWithFileIdentifier(table.Pack(builder), []byte(identifier))
	return builder.FinishedBytes()
}

func packHardState(hardState *replication.HardState) *fb.HardStateT {
	if hardState == nil {
		return nil
	}
	return &fb.HardStateT{
		Term:                hardState.Term,
		PromisedTo:          string(hardState.VotedFor),
		PromisedIncarnation: hardState.VotedForIncarnation,
		Commit:              hardState.Commit,
	}
}

func packSnapshot(snapshot *replication.Snapshot) *fb.SnapshotT {
	if snapshot == nil {
		return nil
	}
	return &fb.SnapshotT{
		Index:  snapshot.Index,
		Term:   snapshot.Term,
		Places: fbtable.PackSlots[fb.PlaceT](snapshot.Slots),
		Data:   snapshot.Data,
	}
}

// decode decodes data into a record that shares no memory with it. The store has verified
// the checksums of data.
func decode(data []byte) (decoded record, err error) {
	if len(data) < flatbuffers.SizeUOffsetT+len(identifier) || !flatbuffers.BufferHasIdentifier(data, identifier) {
		return record{}, errEncoding
	}
	// The generated accessors do not verify offsets: a wrong offset makes a bounds check
	// panic.
	defer func() {
		if recover() != nil {
			decoded, err = record{}, errEncoding
		}
	}()
	table := fb.GetRootAsState(data, 0).UnPack()
	return record{
		hardState: unpackHardState(table.HardState),
		snapshot:  unpackSnapshot(table.Snapshot),
		entries:   unpackEntries(table.Entries),
	}, nil
}

func unpackHardState(table *fb.HardStateT) *replication.HardState {
	if table == nil {
		return nil
	}
	return &replication.HardState{
		Term:                table.Term,
		VotedFor:            member.ID(table.PromisedTo),
		VotedForIncarnation: table.PromisedIncarnation,
		Commit:              table.Commit,
	}
}

func unpackSnapshot(table *fb.SnapshotT) *replication.Snapshot {
	if table == nil {
		return nil
	}
	return &replication.Snapshot{
		Index: table.Index,
		Term:  table.Term,
		Slots: unpackSlots(table.Places),
		Data:  bytes.Clone(table.Data),
	}
}

func unpackSlots(tables []*fb.PlaceT) []replication.Slot {
	if len(tables) == 0 {
		return nil
	}
	slots := make([]replication.Slot, len(tables))
	for i, table := range tables {
		slots[i] = replication.Slot{
			Voter:   replication.Voter{ID: member.ID(table.Id), Incarnation: table.Incarnation},
			Learner: table.Learner,
		}
	}
	return slots
}

func unpackEntries(tables []*fb.EntryT) []replication.Entry {
	if len(tables) == 0 {
		return nil
	}
	entries := make([]replication.Entry, len(tables))
	for i, table := range tables {
		entries[i] = replication.Entry{
			Index:   table.Index,
			Term:    table.Term,
			Kind:    replication.EntryKind(table.Kind),
			Command: bytes.Clone(table.Command),
		}
	}
	return entries
}
