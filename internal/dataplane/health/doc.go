// Package health decides which listed back ends receive no requests, or as few as possible.
//
// A Tracker rates back ends by the outcomes of requests, those of this node and those that
// other nodes report. StaleBackends contains the back ends whose incarnation or weights
// differ from the view, and Quarantine the replicas that report another weight version than
// control state has for them. Each type owns its state, does not read the clock, and is safe
// for concurrent use.
package health
