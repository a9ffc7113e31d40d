// Package enginebench compares policies that choose replicas, in virtual time,
// on a model of batching engines: replicas read prompts in pieces between the
// tokens of running requests, keep parts of prompts in a memory of blocks whose
// least recently used parts give way, preempt requests when it runs out, and
// move parts over links that carry one move at a time. Several routers each see
// their share of the requests and hear of replicas late.
package enginebench
