// Package attempts holds the ledger of one request: every attempt to have a
// back end run it, and how each of them ended. What to do next is derived from
// the ledger alone, so that no code path can send a request again, or deny that
// it ran, on a belief of its own.
//
// Two invariants carry the package:
//
//   - A request that may not be repeated is dispatched again only when every
//     earlier attempt is known not to have run.
//   - "Not run" is answered only when every attempt is known not to have run.
//
// A ledger belongs to one goroutine.
package attempts
