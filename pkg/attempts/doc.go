// Package attempts tracks the attempts of one request: every attempt to have a back
// end run it, and how each of them ended. The next action is derived from this record
// alone, so that no code path can send a request again, or deny that it has run, on an
// assumption of its own.
//
// Two invariants carry the package:
//
//   - A request that is not idempotent is dispatched again only when every earlier
//     attempt is known not to have run.
//   - "Not run" is responded only when every attempt is known not to have run.
//
// A Tracker owns the record of its request. It does no I/O, reads no clock, and must
// not be used concurrently.
package attempts
