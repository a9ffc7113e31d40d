// Package transport carries frames between nodes over TCP.
//
// A connection carries frames in one direction, each after its length. A sender keeps
// a bounded queue for each peer and drops the oldest frames when it is full: the
// protocols above repeat what matters, and old frames matter least. No peer, whether
// slow, frozen or hostile, can make a node use more memory than the bounds in Options.
//
// A Transport owns the listener, one goroutine for each peer that frames are sent to,
// and one for each connection that another node opened. Close ends all of them and
// waits. All methods may be called concurrently.
package transport
