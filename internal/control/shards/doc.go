// Package shards contains this node's copy of a shard: the member of its replica group,
// the replicated state that committed commands are applied to, and the write that has to
// become durable before messages and commands that depend on it are processed.
//
// Shard is the single owner of the state, of the outstanding write and of this node's
// proposals that wait to be applied. A group has at most one outstanding write; messages
// and committed entries that depend on it wait until Written is called. A caller that
// changes the group must call Process afterwards.
//
// Shard passes results to Host in this order: messages, committed commands, reads that a
// quorum has confirmed, the newest state. It does no I/O, reads no clock and is not safe
// for concurrent use.
package shards
