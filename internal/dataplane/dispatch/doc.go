// Package dispatch runs the attempts of a request on back ends, and responds to its caller.
//
// Dispatcher is the last handler of the chain. For each request it asks an
// attempts.Tracker for the next action, performs the action, and records its outcome, until
// the tracker asks for a response. The files contain:
//
//	pending_request.go a request in the dispatcher, and the checks that are repeated before
//	                   each attempt
//	selector.go        the interfaces of selectors, and of back ends selected for one
//	                   attempt (targets)
//	pool_selector.go   the selection of a replica of a pool
//	router_request.go  the request to the router of pkg/kvrouter
//	replica_target.go  a replica selected for an attempt
//	web_selector.go    the selection of a back end of a web service, and a back end selected
//	                   for an attempt
//	outcome.go         the handling of the outcome of an attempt, and the final response
//	relay.go           the relaying of responses to the caller
//	waiting_attempts.go the attempts whose output has not begun, and their withdrawal from
//	                   replicas with outdated weights
//	late_starts.go     messages on requests that begin on outdated weights
//	in_flight.go       the number of running attempts on each back end
//
// The order of the steps in Dispatcher.choose is an invariant: an attempt is counted as in
// flight before the back end is checked against the newest view for the last time. Control
// first publishes a view in which a back end admits no requests and then reads the count of
// its attempts. So either the dispatcher sees the new view, or control sees the attempt.
//
// A request, with its tracker and its health.Attempt, belongs to the goroutine that serves
// it. The components in Options are shared by all requests and synchronize access
// themselves. The selectors and targets of both kinds of back ends are in this package
// because they read and modify pendingRequest, which would otherwise have to be exported.
package dispatch
