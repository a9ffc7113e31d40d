// Package admission bounds what one node takes on, and shares it fairly.
//
// Each tenant has a rate with a burst, a number of requests at a time, and a
// bounded queue in front of the latter whose waiting time is bounded as well.
// The node as a whole has a number of requests at a time. When these are used
// up, a place that becomes free goes to the tenant that holds the fewest in
// proportion to its weight, whatever the length of its queue. A few places are
// kept for tenants that hold less than their share, so that a tenant with
// little to do need not wait for the end of another's long request.
//
// A request whose deadline would pass in the queue is refused when it comes.
//
// The Controller is a state machine: it takes arrivals, releases and the time,
// and returns who is admitted, who waits and who is refused. It reads no clock
// and starts no goroutine. It is not safe for use by several goroutines.
package admission
