// Package shardstate holds the replicated states of control, apart from how they
// are replicated and spread.
//
// A State is the deterministic state machine of one shard: Configuration for the
// shard of the configuration, Service for each shard of services. The replica
// group of a shard owns it and applies committed commands to it; every copy gives
// the same answers and, at the same revision, the same sections.
//
// Sections are the form in which the relay tree spreads a state: one section for
// each element of the large fields, so that a change of one element travels alone.
// Received is the other end of it: the newest state of every shard that reached a
// node. It is the single owner of what the node serves by.
//
// The package does no I/O and reads no clock. Its types are not safe for
// concurrent use; messages that they return are shared and must not be changed.
package shardstate
