// Package recovery recovers the replica group of a shard that has lost the majority of its
// disks. The recovered group starts with the newest state that any live node has.
//
// The recovery is run by the member that all others have elected for it (see
// replication.Group.RecoverQuorum). That member queries every live node as a witness: each
// witness has the newest state of the shard that the relay tree delivered to it. The group
// starts with a state that is no older than that of any witness, so that no acknowledged
// change is lost. Its term must be above every term that a witness has observed, so that no
// former leader is taken for the leader of the recovered group.
//
// Machine owns the searches in progress and the newest term of each shard that the node
// has observed. It does no I/O, reads no clock and is not safe for concurrent use.
package recovery
