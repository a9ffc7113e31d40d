// Package transport carries frames between nodes over TCP.
//
// A TCP connection carries frames in one direction; the length of each frame precedes it.
// A sender has a bounded queue for each peer and drops the oldest frames when the queue is
// full: the protocols that use the transport repeat the messages that still matter, and
// the oldest frames matter least. A slow, frozen or hostile peer cannot make a node use
// more memory than MaxFrameBytes and the bounds in Options allow.
//
// A Transport owns the listener and these goroutines: one that accepts connections; one
// for each peer that frames are sent to, which dials and sends (peer.run); one for each
// connection to a peer, which detects that the other side closed the connection; and one
// for each connection that another node opened. Close ends all of them and waits for
// their end. All methods may be called concurrently.
package transport
