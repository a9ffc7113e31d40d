// Package attempts records every attempt to have a back end run a request, and how the
// attempt ended. The next action for the request is derived from this record alone, so
// that no other code decides whether to send the request again or whether to respond
// that it has not run.
//
// The package maintains two invariants:
//
//   - A request that is not idempotent is dispatched again only when every earlier
//     attempt is known not to have run.
//   - The caller is told that the request has not run only when every attempt is known
//     not to have run.
//
// A Tracker owns the record of its request. It does no I/O, reads no clock, and must
// not be used concurrently.
package attempts
