// Package kvrouter chooses the replica that a request runs on, by what the
// replicas already keep of its prompt and by how loaded they are, and plans
// what the replica pulls from a peer or the store instead of computing it.
//
// The package is pure apart from its locks: it reads no clock, starts no
// goroutine and does no I/O. Time comes in as the time elapsed on a clock that
// counts suspended time. docs/KV_ROUTING.md explains the policy.
package kvrouter
