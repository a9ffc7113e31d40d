// Package outlier detects replicas that fail more requests than others although they are
// listed as healthy, ejects them for a while, and lets single requests probe whether they
// have recovered.
//
// It distinguishes two degrees. A replica that could not be reached, or broke a
// connection, is suspected at once and for a short time, whatever its history. A replica
// whose fraction of failed requests is far larger than that of the other replicas of its
// pool is ejected, until several probes in a row have succeeded.
//
// A node that sends a replica little of its traffic observes few outcomes. So nodes
// report the outcomes at replicas that fail to each other. Each node ejects a replica by
// the outcomes of its own zone, or by those of all zones unless its own zone has enough
// outcomes to count the replica as healthy.
//
// # State
//
// A Detector owns the statistics of one node, under one mutex:
//
//	state                                              type
//	outcomes by this node, its zone and the fleet      replica: tally
//	outcomes not reported to other nodes yet           replica: tally
//	which nodes reported failures                      replica: reporterLog
//	whether a replica is avoided as unreachable        replica: suspicion
//	ejection, its length, and probes                   replica: ejection
//	replicas that are compared, counters for metrics   pool
//
// It does no I/O, reads no clock and starts no goroutine, and may be used concurrently.
package outlier
