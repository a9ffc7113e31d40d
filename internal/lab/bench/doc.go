// Package bench compares routing policies. It replays one trace of requests over a
// fleet of emulated replicas in virtual time, once for each policy.
//
// All policies get the same requests at the same times, on replicas with the same
// speed, the same memory and the same least-recently-used eviction; a prefix that a
// replica caches is reused by whichever policy the request came. The prefix-aware
// policy is the router that the nodes use, fed by late, lost, doubled and reordered
// events and by delayed reports.
//
// A simulation owns all state of one replay and isn't safe for concurrent use. Equal
// settings and seeds give equal results.
package bench
