// Package rollout moves the replicas of pools to the weight versions that the
// configuration names, a few at a time, as the leader of the service shard which
// holds their rows.
//
// A replica's row says in which phase it is: SERVING, DRAINING (no node sends it new
// requests) or LOADING (it is ordered to load the version). The rows are replicated
// state of the shard and not of this package: Machine proposes changes of them and
// sees them again once they are committed.
//
// Machine owns what a leader may lose: shardState is where it stands with each replica
// that a row keeps requests from, and the pace of each pool; replicaReports are the
// reports of replicas and the requests for them. A new leader gathers that anew and
// repeats commands under its own term. poolRollout decides the next moves of one pool.
//
// The roll-out of each version has a time of its own, which weightsAges counts: from the
// ages that earlier leaders replicated, so that another leader has no more time than the one
// before. Advance has the ages replicated until the deadline of nodes has passed.
//
// Commands carry a token of term and revision, and two leaders' commands to one replica
// are CommandGap apart, so that replicas which check no tokens are safe as well.
//
// Machine does no I/O, reads no clock and is not safe for concurrent use. Every input
// comes with the time; outputs are gathered until Take.
package rollout
