// Package bench compares routing policies. It replays one trace of requests over a
// fleet of emulated replicas in virtual time, once for each policy.
//
// All policies get the same requests at the same times, on replicas with the same
// speed, the same memory and the same least-recently-used eviction; a prefix that a
// replica caches is reused whichever policy sent the request. The prefix-aware
// policy is the router that the nodes use, fed by late, lost, doubled and reordered
// events and by delayed reports.
//
//	settings.go      the fleet, its network and the trace
//	policy.go        what a policy decides and is notified of, and the choice of one
//	prefix_aware.go  the nodes' router as a policy
//	baselines.go     the policies that it is compared with
//	simulation.go    one replay: requests, pulls, and what the replicas do with them
//	reporting.go     how events and load reports reach the policy, late and lossy
//	store.go         the store, and what replicas push to it
//	result.go        the figures of a replay
//	replay.go        the outcome of each request of one policy
//	ablation.go      the router with one knob moved at a time
//
// A simulation owns all state of one replay and isn't safe for concurrent use. Equal
// settings and seeds give equal results.
package bench
