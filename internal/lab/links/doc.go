// Package links emulates the network between machines. A forwarder at each machine's
// advertised address relays connections to the address at which the machine listens,
// and blocks or delays the bytes according to their source and destination.
//
// A blocked link loses bytes in one direction. A stream that has lost bytes
// cannot continue, so its connection is closed when the link is unblocked. A real
// connection ends likewise when a machine stops retransmitting bytes that are not
// acknowledged.
//
// A Network owns the states of all links, behind a lock. Each connection has a goroutine
// for each direction, which ends with the connection or with its Forwarder.
package links
