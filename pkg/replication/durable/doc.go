// Package durable stores the state of one member of a replica group on a disk. Each Save
// appends one record to a twoslot store, and a checkpoint of the store contains the whole
// state.
//
// A Log owns the durable state: the hard state, the newest snapshot and the entries after
// it. It is not safe for concurrent use; the goroutine that saves a shard owns it. Records
// and checkpoints are FlatBuffers of durable.fbs. Its fields keep the names of earlier
// releases: promised_to is HardState.VotedFor, and a place is a replication.Slot.
package durable
