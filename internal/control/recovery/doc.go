// Package recovery forms the replica group of a shard anew when it has lost the majority
// of its disks, with the newest state that any node still holds.
//
// The member that all others have elected for it (see replication.Group.RecoverQuorum)
// asks every live node as a witness: each holds the newest state of the shard that the
// relay tree brought it. The group opens with nothing below what a witness holds, so
// that nothing which was acknowledged is lost. It must also open above every term that a
// witness has heard of, so that no leader of before is taken for one of the new group.
//
// Machine owns the searches under way and the newest term of each shard that the node
// has heard of. It does no I/O, reads no clock and is not safe for concurrent use.
package recovery
