// Package outlier detects replicas that fail more requests than others although they are
// listed as healthy, ejects them for a while, and lets single requests probe whether they
// have recovered.
//
// It distinguishes two degrees. A replica that could not be reached, or broke a
// connection, is suspected at once and for a short time, whatever its history. One that
// fails a fraction of its requests that is far larger than that of the other replicas of
// its pool is ejected, until several probes in a row have succeeded.
//
// A node that sends a replica little of its traffic observes few outcomes. So nodes
// report the outcomes at replicas that fail to each other, and each node decides by the
// outcomes of its zone, or by those of all zones if these are too few.
//
// # State
//
// A Detector owns the statistics of one node, under one mutex:
//
//	state                                              owner
//	outcomes by this node, its zone and the fleet      replica: tally
//	outcomes that other nodes were not told of         replica: tally
//	which nodes reported failures                      replica: reporterLog
//	whether a replica is avoided since it broke        replica: suspicion
//	ejection, its length, and probes                   replica: ejection
//	replicas that are compared, counters for metrics   pool
//
// It does no I/O, reads no clock and starts no goroutine, and may be used concurrently.
package outlier
