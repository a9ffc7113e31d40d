// Package player replays recorded days: against running nodes over HTTP, or
// against emulated replicas in virtual time. Replay is open-loop: a request is
// sent at its time whether or not earlier ones have ended, so that a slow fleet
// does not slow its own load down.
//
// Play starts a goroutine for each request, up to a bound, and owns what the replay has
// given until all have ended. Emulate plays in virtual time, in the caller's goroutine.
package player
