// Package namedweights tracks for how long the weight versions of pools have been named.
//
// Each version has a deadline of its own: one that is named later gives no more time for
// an earlier one. So Tracker keeps the versions of a pool in the order of their naming,
// up to the newest whose deadline has passed for the leader of the service's shard; the
// ones before that follow from it.
//
// A process can know a version no longer than it runs. The leader therefore replicates
// the age of each version (controlpb.WeightsAge) until its deadline has passed. A node
// that starts, and a new leader, count on from there. The age that is replicated never
// decreases, and Tracker never forgets what it has adopted of a version that it keeps.
//
// Tracker does no I/O, reads no clock and is not safe for concurrent use.
package namedweights
