// Package shardstate contains the replicated state machines of the control plane.
// Replication itself and the relay tree, which distributes the states to all nodes, are
// in other packages.
//
// A State is the deterministic state machine of one shard: Configuration for the
// configuration shard, Service for each service shard. The replica group of a shard owns
// the State and applies committed commands to it. Every copy returns the same answers
// and, at the same revision, the same sections.
//
// The relay tree distributes a state as sections: one for each element of the large
// lists, so that a change of one element is sent without the others. On the receiving
// side, Received contains the newest state of every shard that reached a node. It is the
// single owner of the states that the node serves by.
//
// The package does no I/O and reads no clock. Its types are not safe for
// concurrent use; messages that they return are shared and must not be changed.
package shardstate
