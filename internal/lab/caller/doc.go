// Package caller plays the callers of a deployment: it sends a bounded open
// loop of requests to front nodes that are ready, reads every answer to the
// byte, and records what a caller learnt of each request.
//
// It uses net/http directly and a connection of its own for each request, so
// that nothing between it and the node sends a request a second time.
//
// A Runner has one goroutine for each request, up to a bound, and a Balancer one for
// each node that it polls; both guard what these share by a lock.
package caller
