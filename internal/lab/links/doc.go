// Package links stands for the network between machines: a forwarder at the
// address that each machine tells others relays to the address that it listens
// on, and cuts or delays what passes by where it comes from and goes to.
//
// A cut loses bytes in one direction. A stream that has lost bytes cannot go
// on, so that its connection is closed when the cut ends, as it is when a
// machine gives up on bytes that nobody acknowledged.
package links
