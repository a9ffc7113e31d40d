// Package dispatch runs the attempts of a request on back ends, and responds to its caller.
//
// Dispatcher is the last handler of the chain. For each request it asks an
// attempts.Tracker what to do next, does that, and records what came of it, until the
// tracker asks for a response:
//
//	pending_request.go a request in the dispatcher, and what is looked at again before
//	                   each attempt
//	selector.go        what selects back ends (selector), and a back end selected for one
//	                   attempt (target)
//	pool_selector.go   the replicas of pools: candidates, and the choice among them
//	router_request.go  what the router of pkg/kvrouter is asked
//	replica_target.go  a replica selected for an attempt
//	web_selector.go    the back ends of web services, and one selected for an attempt
//	outcome.go         what the end of an attempt means, and the final response
//	relay.go           how a response gets to the caller
//	in_flight.go       attempts that are running, by back end
//
// The order in Dispatcher.choose is an invariant: an attempt is counted in before the newest
// view is looked at for the last time. Control publishes a view in which a back end does not
// admit, and then reads the count, so that one of the two sees the other.
//
// A request, with its tracker and its health.Attempt, belongs to the goroutine that serves
// it. What the Options give is shared by all requests and guards itself. The two kinds of
// back ends stay in this package, because they read and fill the dispatcher's view of a
// request, which would otherwise be exported for them alone.
package dispatch
