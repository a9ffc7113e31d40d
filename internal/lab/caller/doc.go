// Package caller simulates the callers of a deployment: it sends requests to ready
// front nodes in an open loop with a bounded number in flight, checks every byte of the
// responses, and records what the caller can observe of each request.
//
// It uses net/http directly and opens a new connection for each request, so that
// nothing between the caller and the node resends a request.
//
// A Runner has one goroutine for each request in flight, and a Balancer one for each
// node that it polls. Both guard the state that their goroutines share by a lock.
package caller
