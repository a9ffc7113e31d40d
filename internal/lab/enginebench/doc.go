// Package enginebench compares policies that choose replicas, in virtual time, on a
// model of batching engines. Replicas prefill prompts in steps between the tokens of
// running requests, cache chunks of prompts in a memory of blocks from which the
// least recently used chunks are evicted, preempt requests when it is full, and
// transfer chunks over links that carry one transfer at a time. Several routers each
// receive a fraction of the requests and get late reports of the replicas.
//
// A simulation owns all state of one run and isn't safe for concurrent use; Compare
// plays several runs at once, each with a simulation of its own. Equal settings and
// seeds give equal results.
package enginebench
