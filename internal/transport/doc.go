// Package transport carries frames between nodes over TCP.
//
// A connection carries frames in one direction, each after its length. A sender keeps
// a bounded queue for each peer and drops the oldest frames when it is full: the
// protocols above repeat what matters, and old frames matter least. No peer, whether
// slow, frozen or hostile, can make a node use more memory than the bounds in Options.
//
// A Transport owns the listener and these goroutines: one that accepts; for each peer
// that frames are sent to, one that dials and sends (peer.run), and while a connection is
// open one that notices that the other side closed it; and one for each connection that
// another node opened. Close ends all of them and waits. All methods may be called
// concurrently.
package transport
