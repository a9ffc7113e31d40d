// Package durable keeps the state of one member of a replica group on a disk: each
// Save is one record of a twoslot store, and the whole state is its checkpoint.
//
// A Log owns what is durable: the hard state, the newest snapshot and the entries
// after it. It is not safe for concurrent use; the goroutine that saves a shard owns
// it. Records and checkpoints are FlatBuffers of durable.fbs, whose fields keep the
// names of earlier releases: promised_to is HardState.VotedFor, a place is a Slot.
package durable
