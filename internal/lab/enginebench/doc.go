// Package enginebench compares policies that choose replicas, in virtual time, on a
// model of batching engines. Replicas prefill prompts in steps between the tokens of
// running requests, cache chunks of prompts in a memory of blocks from which the
// least recently used chunks are evicted, preempt requests when it is full, and
// transfer chunks over links that carry one transfer at a time. Several routers each
// receive a fraction of the requests and get late reports of the replicas.
//
//	simulation.go   one run: arrivals, transfers, and the parts below together
//	profile.go      fleets, their engines and their classes of requests
//	workload.go     the requests of a run
//	policy.go       the policies, and the nodes that choose by their own requests
//	router_node.go  a node with the product's router
//	replica.go      a replica: its queue, the prefill of prompts, pulls and saves
//	batch.go        the decoding of running requests, and their preemption
//	memory.go       the memory of a replica or of the store
//	feed.go         what routers are told, late and lossy
//	reread.go       why prompts are read again
//	result.go       the figures of a run
//	compare.go      many runs side by side; knobs.go has their variants, table.go the table
//
// A simulation owns all state of one run and isn't safe for concurrent use; Compare
// plays several runs at once, each with a simulation of its own. Equal settings and
// seeds give equal results.
package enginebench
