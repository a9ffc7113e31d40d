// Package admission bounds what each tenant may ask of one node: a rate with a
// burst, a number of requests at a time, and a bounded queue in front of the
// latter whose waiting time is bounded as well.
//
// The Controller is a state machine: it takes arrivals, releases and the time,
// and returns who is admitted, who waits and who is refused. It reads no clock
// and starts no goroutine. It is not safe for use by several goroutines.
package admission
