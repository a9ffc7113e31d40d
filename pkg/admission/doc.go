// Package admission bounds the requests that one node runs at a time, and divides its
// capacity fairly among tenants.
//
// Each tenant has a token bucket, a bound of concurrent requests, and a bounded queue in
// front of these whose waiting time is bounded as well. The node as a whole has a number
// of slots. When these are in use, a slot that becomes free goes to the tenant with the
// lowest usage in proportion to its weight, whatever the length of its queue. A few slots
// are reserved for tenants below their fair share, so that a tenant with little traffic
// need not wait for the end of another's long request.
//
// A request whose deadline would pass in the queue is refused when it arrives.
//
// Controller is a state machine: it gets arrivals, releases and the time, and returns
// which requests are admitted, queued or refused. It owns the slots of the node and, for
// each tenant, a tenantState: tokens, running requests, queue, and recent service times.
// It reads no clock, starts no goroutine, and must not be used concurrently.
package admission
