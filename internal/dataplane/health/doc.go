// Package health decides which back ends get no requests, or as few as possible, although
// they are listed.
//
// A Tracker judges back ends by the outcomes of requests: its own, and those that other
// nodes report. StaleBackends contains those that the view describes wrongly, and
// Quarantine the replicas that run other weights than control state has for them. Each
// owns its state, reads no clock, and may be used concurrently.
package health
