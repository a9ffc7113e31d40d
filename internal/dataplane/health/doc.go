// Package health decides which listed back ends receive no requests, or as few as possible.
//
// A Tracker rates back ends by the outcomes of requests, those of this node and those that
// other nodes report. StaleBackends contains the back ends whose incarnation or weights
// differ from the view, and Quarantine the replicas that report another weight version than
// control state has for them. The three types are independent of each other, take the time
// as a parameter, and are safe for concurrent use.
package health
