// Package namedweights tracks how long ago the configuration named the weight versions of
// pools.
//
// Each version has a deadline of its own: a version that is named later does not extend the
// deadline of an earlier one. Tracker therefore keeps the versions of a pool in the order in
// which they were named. Once the deadline of a version has passed according to the leader
// of the service's shard, that version supersedes the earlier ones, which Tracker drops.
//
// A process knows a version only since the process started. The leader therefore replicates
// the age of each version (controlpb.WeightsAge) until the deadline of the version has
// passed. A starting node and a new leader continue from the replicated age. A starting node
// does not know how long ago that was replicated, until it sees the leader replicate a greater
// one. The replicated age never decreases, and Tracker retains the age that it has adopted for
// a version as long as it keeps the version.
//
// A pool may come into the configuration after the version of its model was named
// (Pool.weights_inherited). It gets the versions and times of another pool of the model. If
// there is none, its version counts as overdue, so that replicas that do not run it get no
// requests from the start.
//
// Tracker does no I/O, reads no clock and is not safe for concurrent use.
package namedweights
