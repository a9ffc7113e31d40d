// Package links stands for the network between machines: a forwarder at the
// address that each machine tells others relays to the address at which the
// machine listens, and blocks or delays what passes by its source and its
// destination.
//
// A blocked link loses bytes in one direction. A stream that has lost bytes
// cannot go on, so that its connection is closed when the link opens again, as it
// is when a machine gives up on bytes that are not acknowledged.
//
// A Network owns the states of all links, behind a lock. Each connection has a goroutine
// for each direction, which ends with the connection or with its Forwarder.
package links
