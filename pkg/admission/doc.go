// Package admission bounds the requests that one node runs at a time, and divides its
// capacity fairly among tenants.
//
// Each tenant has a token bucket, a limit of concurrent requests, and a queue with a limited
// length and a limited waiting time. The node as a whole has a number of slots. When all
// slots are in use, a slot that becomes free goes to the tenant with the lowest usage in
// proportion to its weight, whatever the length of its queue. Some slots can be reserved
// for tenants below their fair share, so that a tenant with little traffic need not wait
// for the end of another tenant's long request.
//
// A request is refused on arrival if it is expected to miss its deadline in the queue.
//
// Controller is a state machine: its inputs are arrivals, releases and the time, and its
// outputs say which requests are admitted, queued or refused. It owns the slots of the node
// and, for each tenant, a tenantState: tokens, running requests, queue, and recent service
// times. It reads no clock, starts no goroutine, and must not be used concurrently.
package admission
