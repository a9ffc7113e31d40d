// Package shards holds this node's copy of a shard: the member of its replica group, the
// replicated state that committed commands are applied to, and what of both must be
// written before anything that depends on it may be sent.
//
// Shard is the single owner of the state, of the write that is outstanding and of the
// proposals of this node that wait to be applied. A group has one write outstanding at
// most; messages and committed entries that depend on it wait until Written. Whatever has
// changed the group must be followed by Process.
//
// What is ready is carried out through Host, in the order: messages, committed commands,
// reads that a quorum has confirmed, the newest state. Shard does no I/O, reads no clock
// and is not safe for concurrent use.
package shards
