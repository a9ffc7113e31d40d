// Package rollout updates the replicas of pools to the weight versions that the
// configuration names, a few replicas at a time. It runs on the leader of the service
// shard that contains the rows of the replicas.
//
// A replica's row contains its phase: SERVING, DRAINING (no node sends it new requests) or
// LOADING (it is commanded to load a version). A replica is out of service in the phases
// DRAINING and LOADING. The rows are replicated state of the shard, which this package
// does not own: Machine proposes changes and sees them once they are committed.
//
// Machine owns the volatile state of a leader. shardState contains the progress of each
// replica that is out of service and the pace of each pool. replicaReports contains the
// reports of replicas and the requests for them. A new leader collects this state again
// and repeats commands under its own term. poolRollout decides the next steps of one pool.
//
// Each version has a deadline of its own, which counts from when the version was named.
// weightsAges continues from the ages that earlier leaders replicated, so that a change of
// the leader does not extend the deadline. Advance replicates the ages until
// Config.WeightsDeadline has passed.
//
// Commands contain a token of term and revision. The commands of two leaders to one replica
// are at least CommandGap apart, so that replicas which do not check tokens are safe too.
//
// Machine does no I/O, reads no clock and is not safe for concurrent use. Each input has
// the current time as an argument; Take returns the outputs.
package rollout
